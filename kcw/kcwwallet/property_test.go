package kcwwallet_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwpb"
)

// seed is the seed of the random sequences unless KCW_SEED sets another.
const seed = 20261204

// parameters returns gopter's parameters with the seed.
func parameters(t *testing.T, sequences int) *gopter.TestParameters {
	t.Helper()
	s := int64(seed)
	if text := os.Getenv("KCW_SEED"); text != "" {
		var err error
		if s, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	p := gopter.DefaultTestParametersWithSeed(s)
	p.MinSuccessfulTests = sequences
	p.MinSize = 40
	p.MaxSize = 200
	p.MaxShrinkCount = 50
	return p
}

// dice derives small numbers from one random number.
type dice uint64

func (d *dice) roll(sides uint64) uint64 {
	n := uint64(*d) % sides
	*d /= dice(sides)
	return n
}

// openRequest is a request that a router may run or, if refuse is set, must settle
// as not run.
type openRequest struct {
	claim  *kcwpb.SettleClaim
	bound  int64
	refuse bool
}

// fleet is a world with three routers and the requests that their gateways track.
type fleet struct {
	world        *world
	routers      []*router
	openRequests [][]openRequest
	// billable holds the requests that were settled as run.
	billable map[string]bool
	// runs counts for each request that is not repeatable how often it was admitted
	// and not settled as not run.
	runs map[string]int
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{world: newWorld(t, 2000), billable: make(map[string]bool), runs: make(map[string]int)}
	policy := kcwgrant.Config{Endurance: endurance, Divisor: 3, IdleAfter: idleTime}
	for _, name := range []string{"a", "b", "c"} {
		f.routers = append(f.routers, newRouter(f.world, name, policy))
	}
	f.openRequests = make([][]openRequest, len(f.routers))
	return f
}

// step performs the action that the random number n selects.
func (f *fleet) step(n uint64) {
	d := dice(n)
	i := int(d.roll(3))
	r := f.routers[i]
	r.link.next = fault(max(0, int(d.roll(10))-6))
	switch d.roll(20) {
	case 0, 1, 2, 3, 4, 5:
		f.open(i, &d)
	case 6, 7, 8, 9, 10:
		f.settle(i, int(d.roll(8)), &d)
	case 11, 12:
		r.reconcile()
	case 13:
		r.link.cut = !r.link.cut
	case 14:
		r.start()
		f.openRequests[i] = nil
	case 15:
		f.deliver(int(d.roll(8)))
	case 16:
		f.world.apply(&kcwpb.Command{Op: &kcwpb.Command_TopUp{TopUp: &kcwpb.TopUp{
			Change: fmt.Sprint("t-", n), Customer: customer, Tokens: int64(d.roll(300)) - 150,
		}}})
	default:
		f.world.advance(time.Duration(1+d.roll(90)) * time.Second)
	}
}

// open has router i open a request.
func (f *fleet) open(i int, d *dice) {
	number := d.roll(30)
	request, repeatable := fmt.Sprint("r-", number), number%3 > 0
	tokens := int64(1 + d.roll(80))
	claim, result, err := f.routers[i].open(request, tokens, repeatable)
	switch {
	case err != nil:
		f.openRequests[i] = append(f.openRequests[i], openRequest{claim: claim, refuse: true})
	case result.GetCode() == codeOK:
		if !repeatable {
			f.runs[request]++
		}
		f.openRequests[i] = append(f.openRequests[i], openRequest{claim: claim, bound: tokens})
	}
}

// settle has router i settle one of its requests.
func (f *fleet) settle(i, place int, d *dice) {
	if len(f.openRequests[i]) == 0 {
		return
	}
	place %= len(f.openRequests[i])
	w := f.openRequests[i][place]
	outcome, tokens := kcwpb.Outcome(1+d.roll(5)%3), int64(d.roll(uint64(w.bound)+1))
	if w.refuse || outcome == notRun {
		outcome, tokens = notRun, 0
	}
	result, err := f.routers[i].settle(w.claim, outcome, tokens)
	if err != nil || result.GetCode() == kcwpb.Code_CODE_LIMITED {
		return
	}
	f.openRequests[i] = append(f.openRequests[i][:place:place], f.openRequests[i][place+1:]...)
	settled := result.GetCode() == codeOK || result.GetCode() == kcwpb.Code_CODE_REPEATED
	if settled && outcome == ran {
		f.billable[w.claim.GetRequest()] = true
	}
	if settled && outcome == notRun && !w.refuse && !w.claim.GetRepeatable() {
		f.runs[w.claim.GetRequest()]--
	}
}

// deliver has the ledger receive one of the delayed commands.
func (f *fleet) deliver(place int) {
	if len(f.world.delayed) == 0 {
		return
	}
	place %= len(f.world.delayed)
	f.world.apply(f.world.delayed[place])
	f.world.delayed = append(f.world.delayed[:place:place], f.world.delayed[place+1:]...)
}

// heal ends all faults, settles all open requests and reconciles every wallet.
func (f *fleet) heal() {
	for len(f.world.delayed) > 0 {
		f.deliver(0)
	}
	for i, r := range f.routers {
		r.link.cut, r.link.next = false, noFault
		for len(f.openRequests[i]) > 0 {
			before := len(f.openRequests[i])
			d := dice(0)
			f.settle(i, 0, &d)
			if len(f.openRequests[i]) == before {
				f.world.advance(time.Second)
			}
		}
	}
	for range 4 {
		f.world.advance(2 * time.Second)
		for _, r := range f.routers {
			r.reconcile()
		}
	}
}

// verify returns the first violated invariant after heal, or the empty string.
func (f *fleet) verify() string {
	book := f.world.book
	if f.world.violation != nil {
		return f.world.violation.Error()
	}
	for request, runs := range f.runs {
		if runs > 1 {
			return fmt.Sprintf("%s is not repeatable and ran %d times:%s", request, runs, f.world.commandsOf(request))
		}
	}
	var billed int64
	for _, c := range book.Claims(customer) {
		if c.GetState() == kcwpb.ClaimState_CLAIM_STATE_BILLED {
			billed += c.GetTokens()
		}
	}
	b := book.Budget(customer)
	if billed != b.GetBilled() || billed > b.GetPrepaid() {
		return fmt.Sprintf("the sum of the bills is %d: %v", billed, b)
	}
	for request := range f.billable {
		if c := book.Claim(customer, request); c.GetState() != kcwpb.ClaimState_CLAIM_STATE_BILLED {
			return fmt.Sprintf("%s ran and has no bill: %v:%s", request, c, f.world.commandsOf(request))
		}
	}
	for _, r := range f.routers {
		if pending, refused := r.wallet.Pending(); pending > 0 || refused > 0 {
			return fmt.Sprintf("router %s: %d outcomes are pending, %d are refused", r.name, pending, refused)
		}
	}
	return ""
}

func TestRandomFaultsKeepTheMoney(t *testing.T) {
	properties := gopter.NewProperties(parameters(t, 120))
	properties.Property("nothing is overspent, every run has one bill", prop.ForAll(func(list []uint64) string {
		f := newFleet(t)
		for i, n := range list {
			f.step(n)
			if f.world.violation != nil {
				return fmt.Sprintf("step %d: %v", i, f.world.violation)
			}
		}
		f.heal()
		return f.verify()
	}, gen.SliceOf(gen.UInt64())))
	properties.TestingRun(t)
}
