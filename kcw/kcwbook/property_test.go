package kcwbook_test

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwbook"
	"kingcupwick.example/kcw/kcwpb"
)

// seed is the seed of the random sequences unless KCW_SEED holds another.
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
	p.MinSize = 50
	p.MaxSize = 400
	p.MaxShrinkCount = 100
	return p
}

// script generates commands from random numbers. They use two customers, three
// routers and six requests of each customer.
type script struct {
	now          int64
	revisions    map[string]uint64
	sequences    map[string]uint64
	incarnations map[string]uint64
	sent         []*kcwpb.Command
}

func newScript() *script {
	return &script{
		now:          start,
		revisions:    make(map[string]uint64),
		sequences:    make(map[string]uint64),
		incarnations: make(map[string]uint64),
	}
}

// choices derives small numbers from one random number.
type choices uint64

func (c *choices) below(limit uint64) uint64 {
	n := uint64(*c) % limit
	*c /= choices(limit)
	return n
}

// command returns the command for the random number n.
func (s *script) command(n uint64) *kcwpb.Command {
	c := choices(n)
	if c.below(8) == 0 && len(s.sent) > 0 {
		resent := proto.Clone(s.sent[int(c.below(uint64(len(s.sent))))]).(*kcwpb.Command)
		resent.At = s.now
		return resent
	}
	steps := []time.Duration{0, 0, time.Second, 20 * time.Second, 25 * time.Minute, -time.Minute}
	s.now += int64(steps[c.below(6)])
	command := &kcwpb.Command{At: s.now}
	name := []string{"granite-pew", "kviitung"}[c.below(2)]
	router := []string{"a", "b", "c"}[c.below(3)]
	s.fill(command, name, router, &c)
	s.sent = append(s.sent, command)
	return command
}

// fill sets the operation of command.
func (s *script) fill(command *kcwpb.Command, name, router string, c *choices) {
	kind := c.below(24)
	request := fmt.Sprintf("r-%d", c.below(6))
	tokens := int64(c.below(120))
	incarnation := s.incarnations[router]
	change := fmt.Sprintf("c-%d", len(s.sent))
	switch {
	case kind < 2:
		command.Op = &kcwpb.Command_PutContract{PutContract: &kcwpb.PutContract{
			Change: change, Base: s.revisions[name] - c.below(2),
			Contract: &kcwpb.Contract{
				Customer: name, PrepaidTokens: 4 * tokens, Deleted: c.below(8) == 0,
				Limits: &kcwpb.Limits{OpenRequests: int64(c.below(2) * 4), TokensPerMinute: int64(c.below(2) * 300)},
			},
		}}
	case kind < 4:
		command.Op = &kcwpb.Command_TopUp{TopUp: &kcwpb.TopUp{Change: change, Customer: name, Tokens: 2*tokens - 100}}
	case kind == 4:
		s.incarnations[router] = incarnation + c.below(2)
		command.Op = &kcwpb.Command_RegisterRouter{RegisterRouter: &kcwpb.RegisterRouter{Router: router, Incarnation: incarnation + c.below(2)}}
	case kind == 5:
		command.Op = &kcwpb.Command_RetireRouter{RetireRouter: &kcwpb.RetireRouter{Change: change, Router: router, Incarnation: incarnation}}
	case kind < 12:
		command.Op = &kcwpb.Command_OpenClaim{OpenClaim: &kcwpb.OpenClaim{
			Customer: name, Request: request, Tokens: tokens, Router: router, Incarnation: incarnation - c.below(8)/7,
			Repeatable: c.below(3) > 0, LeaseNanos: int64(30 * time.Second), UseGrant: c.below(2) == 0, Attempt: c.below(4),
			Serial: c.below(6), Over: c.below(5),
		}}
	case kind < 18:
		command.Op = &kcwpb.Command_SettleClaim{SettleClaim: &kcwpb.SettleClaim{
			Customer: name, Request: request, Tokens: tokens / 2, Router: router, Incarnation: incarnation - c.below(4)/3,
			Outcome: kcwpb.Outcome(1 + c.below(3)), FromGrant: c.below(2) == 0, Repeatable: c.below(3) > 0, Attempt: c.below(4),
		}}
	case kind < 22:
		s.fillGrant(command, name, router, tokens, c)
	case kind == 22:
		command.Op = &kcwpb.Command_ReleaseGrant{ReleaseGrant: &kcwpb.ReleaseGrant{Customer: name, Router: router, Incarnation: incarnation - c.below(3)}}
	default:
		command.Op = &kcwpb.Command_ResolveClaim{ResolveClaim: &kcwpb.ResolveClaim{
			Change: change, Customer: name, Request: request, Outcome: kcwpb.Outcome(1 + c.below(2)), Tokens: tokens / 2,
		}}
	}
}

// fillGrant makes command a draw or a return of a grant.
func (s *script) fillGrant(command *kcwpb.Command, name, router string, tokens int64, c *choices) {
	incarnation := s.incarnations[router]
	key := fmt.Sprint(name, router, incarnation)
	sequence := s.sequences[key] + 1
	if c.below(3) == 0 {
		command.Op = &kcwpb.Command_ReturnGrant{ReturnGrant: &kcwpb.ReturnGrant{
			Customer: name, Router: router, Incarnation: incarnation, Tokens: tokens / 4, Sequence: sequence,
		}}
		return
	}
	command.Op = &kcwpb.Command_DrawGrant{DrawGrant: &kcwpb.DrawGrant{
		Customer: name, Router: router, Incarnation: incarnation, Tokens: tokens, Sequence: sequence, Divisor: 1 + int64(c.below(3)),
	}}
}

// observe stores what a client would use of the result of command.
func (s *script) observe(command *kcwpb.Command, result *kcwpb.Result) {
	if put := command.GetPutContract(); put != nil && result.GetRevision() > 0 {
		s.revisions[put.GetContract().GetCustomer()] = max(s.revisions[put.GetContract().GetCustomer()], result.GetRevision())
	}
	if top := command.GetTopUp(); top != nil && result.GetCode() == ok {
		s.revisions[top.GetCustomer()] = result.GetRevision()
	}
	if result.GetCode() == ok && (command.GetDrawGrant() != nil || command.GetReturnGrant() != nil) {
		g := result.GetGrant()
		s.sequences[fmt.Sprint(g.GetCustomer(), g.GetRouter(), g.GetIncarnation())] = g.GetSequence()
	}
}

// oracle computes the expected state of the book from the results of its commands.
type oracle struct {
	book     *kcwbook.Book
	revision uint64
	now      int64
	billed   map[string]int64
	closed   map[string]*kcwpb.Claim
	targets  map[string]int64
}

func newOracle(book *kcwbook.Book) *oracle {
	return &oracle{
		book: book, billed: make(map[string]int64), closed: make(map[string]*kcwpb.Claim), targets: make(map[string]int64),
	}
}

// check returns the first violated rule after command returned result, or an empty
// string.
func (o *oracle) check(command *kcwpb.Command, result *kcwpb.Result) string {
	o.now = max(o.now, command.GetAt())
	if err := o.book.Check(); err != nil {
		return err.Error()
	}
	if o.book.Revision() < o.revision {
		return fmt.Sprintf("revision %d follows %d", o.book.Revision(), o.revision)
	}
	o.revision = o.book.Revision()
	if result.GetCode() == ok {
		if violation := o.record(command, result); violation != "" {
			return violation
		}
	}
	for _, b := range o.book.Budgets() {
		if b.GetBilled() != o.billed[b.GetCustomer()] {
			return fmt.Sprintf("%s: billed %d, the bills add up to %d", b.GetCustomer(), b.GetBilled(), o.billed[b.GetCustomer()])
		}
		if b.GetPrepaid()-b.GetWithheld() != o.targets[b.GetCustomer()] {
			return fmt.Sprintf("%s: prepaid %d without withheld %d, the changes add up to %d",
				b.GetCustomer(), b.GetPrepaid(), b.GetWithheld(), o.targets[b.GetCustomer()])
		}
		if b.GetBilled()+b.GetReserved()+b.GetGranted() > b.GetPrepaid() {
			return fmt.Sprintf("%s: overspent: %v", b.GetCustomer(), b)
		}
	}
	return ""
}

// record updates the expected state with an accepted command and checks that the
// command bills no request twice.
func (o *oracle) record(command *kcwpb.Command, result *kcwpb.Result) string {
	if top := command.GetTopUp(); top != nil {
		o.targets[top.GetCustomer()] += top.GetTokens()
	}
	if put := command.GetPutContract(); put != nil {
		o.targets[put.GetContract().GetCustomer()] = put.GetContract().GetPrepaidTokens()
	}
	settles := command.GetSettleClaim() != nil || command.GetResolveClaim() != nil
	claim := result.GetClaim()
	if !settles || claim.GetState() != kcwpb.ClaimState_CLAIM_STATE_BILLED {
		return ""
	}
	key := claim.GetCustomer() + "/" + claim.GetRequest()
	if earlier := o.closed[key]; earlier != nil {
		retention := int64(30 * 24 * time.Hour)
		if earlier.GetRepeatable() {
			retention = int64(time.Hour)
		}
		if o.now < earlier.GetClosedAt()+retention {
			return fmt.Sprintf("%s is billed twice: %v and %v", key, earlier, claim)
		}
	}
	o.closed[key] = claim
	o.billed[claim.GetCustomer()] += claim.GetTokens()
	return ""
}

// apply applies command and returns the marshalled and the decoded result.
func apply(book *kcwbook.Book, index uint64, command *kcwpb.Command) ([]byte, *kcwpb.Result) {
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	out := book.Apply(index, data)
	result := new(kcwpb.Result)
	if err := proto.Unmarshal(out, result); err != nil {
		panic(err)
	}
	return out, result
}

// numbers generates sequences of random numbers.
func numbers() gopter.Gen { return gen.SliceOf(gen.UInt64()) }

func TestRandomCommandsKeepTheRules(t *testing.T) {
	properties := gopter.NewProperties(parameters(t, 400))
	properties.Property("budgets stay valid, requests are billed once, revisions never decrease", prop.ForAll(func(list []uint64) string {
		book, s := kcwbook.New(), newScript()
		o := newOracle(book)
		for i, n := range list {
			command := s.command(n)
			_, result := apply(book, uint64(i), command)
			s.observe(command, result)
			if violation := o.check(command, result); violation != "" {
				return fmt.Sprintf("command %d, %v: %s", i, command, violation)
			}
		}
		return ""
	}, numbers()))
	properties.TestingRun(t)
}

func TestRandomCommandsAreDeterministic(t *testing.T) {
	properties := gopter.NewProperties(parameters(t, 150))
	properties.Property("two books, one of them restored, return equal bytes", prop.ForAll(func(list []uint64, cut int) string {
		first, second, s := kcwbook.New(), kcwbook.New(), newScript()
		var image bytes.Buffer
		for i, n := range list {
			if i == cut%(len(list)+1) {
				second = restoredCopy(first, &image)
			}
			command := s.command(n)
			one, result := apply(first, uint64(i), command)
			two, _ := apply(second, uint64(i), command)
			if !bytes.Equal(one, two) {
				return fmt.Sprintf("command %d, %v, restored at %d: %x then %x", i, command, cut%(len(list)+1), one, two)
			}
			s.observe(command, result)
		}
		var one, two bytes.Buffer
		if first.Freeze()(&one) != nil || second.Freeze()(&two) != nil || !bytes.Equal(one.Bytes(), two.Bytes()) {
			return "the snapshots differ"
		}
		return ""
	}, numbers(), gen.IntRange(0, 1000)))
	properties.TestingRun(t)
}

// restoredCopy returns a book restored from a snapshot of book.
func restoredCopy(book *kcwbook.Book, image *bytes.Buffer) *kcwbook.Book {
	if err := book.Freeze()(image); err != nil {
		panic(err)
	}
	next := kcwbook.New()
	if err := next.Restore(image); err != nil {
		panic(err)
	}
	return next
}

func TestImageIsOfOneMoment(t *testing.T) {
	properties := gopter.NewProperties(parameters(t, 100))
	properties.Property("an image written later has the state of its creation", prop.ForAll(func(list []uint64, cut int) string {
		book, s := kcwbook.New(), newScript()
		var want bytes.Buffer
		write := book.Freeze()
		for i, n := range list {
			if i == cut%(len(list)+1) {
				write = book.Freeze()
				want.Reset()
				if err := write(&want); err != nil {
					return err.Error()
				}
			}
			command := s.command(n)
			_, result := apply(book, uint64(i), command)
			s.observe(command, result)
		}
		var out bytes.Buffer
		if err := write(&out); err != nil {
			return err.Error()
		}
		if want.Len() > 0 && !bytes.Equal(want.Bytes(), out.Bytes()) {
			return fmt.Sprintf("the image taken before command %d changed", cut%(len(list)+1))
		}
		return ""
	}, numbers(), gen.IntRange(0, 1000)))
	properties.TestingRun(t)
}
