package kcwwallet_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwbook"
	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwjournal"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwwallet"
)

const customer = "granite-pew"

const (
	codeOK      = kcwpb.Code_CODE_OK
	ran         = kcwpb.Outcome_OUTCOME_RAN
	notRun      = kcwpb.Outcome_OUTCOME_NOT_RUN
	unknown     = kcwpb.Outcome_OUTCOME_UNKNOWN
	endurance   = 5 * time.Minute
	wholeBudget = 1
	idleTime    = 10 * time.Minute
)

// fault is what happens to a command or its answer in transit.
type fault int

const (
	noFault fault = iota
	lostRequest
	lostAnswer
	lateRequest
)

var errSilent = errors.New("the ledger does not answer")

// world is a simulated ledger with a clock of its own.
type world struct {
	t     testing.TB
	mu    sync.Mutex
	book  *kcwbook.Book
	index uint64
	now   time.Time
	// delayed holds the commands that are delayed in transit.
	delayed []*kcwpb.Command
	// fast disables the trace and the check of the book after each command.
	fast bool
	// silent is a router that the ledger considers silent, if any.
	silent *router
	// trace has a line for each command.
	trace []string
	// violation is the first broken invariant of the book.
	violation error
}

func newWorld(t testing.TB, prepaid int64) *world {
	w := &world{t: t, book: kcwbook.New(), now: time.Unix(1_700_000_000, 0)}
	w.apply(&kcwpb.Command{Op: &kcwpb.Command_PutContract{PutContract: &kcwpb.PutContract{
		Change: "c-1", Contract: &kcwpb.Contract{Customer: customer, PrepaidTokens: prepaid},
	}}})
	return w
}

func (w *world) clock() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

func (w *world) advance(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
}

// apply applies cmd to the book at the current time.
func (w *world) apply(cmd *kcwpb.Command) *kcwpb.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	cmd = proto.Clone(cmd).(*kcwpb.Command)
	cmd.At = w.now.UnixNano()
	if op := cmd.GetOpenClaim(); op != nil && w.silent != nil {
		op.SilentRouter, op.SilentIncarnation = w.silent.name, w.silent.incarnation
	}
	w.index++
	data, err := proto.Marshal(cmd)
	if err != nil {
		w.t.Fatal(err)
	}
	result := new(kcwpb.Result)
	if err := proto.Unmarshal(w.book.Apply(w.index, data), result); err != nil {
		w.t.Fatal(err)
	}
	if w.fast {
		return result
	}
	w.trace = append(w.trace, fmt.Sprintf("%v => %s %s %v", cmd, result.GetCode(), result.GetDetail(), result.GetClaim()))
	if err := w.book.Check(); err != nil && w.violation == nil {
		w.violation = err
	}
	return result
}

// link carries one router's commands to the ledger.
type link struct {
	world *world
	cut   bool
	next  fault
}

func (l *link) Submit(_ context.Context, cmd *kcwpb.Command) (*kcwpb.Result, error) {
	f := l.next
	l.next = noFault
	switch {
	case l.cut || f == lostRequest:
		return nil, errSilent
	case f == lateRequest:
		l.world.delayed = append(l.world.delayed, proto.Clone(cmd).(*kcwpb.Command))
		return nil, errSilent
	case f == lostAnswer:
		l.world.apply(cmd)
		return nil, errSilent
	}
	return l.world.apply(cmd), nil
}

// router is one router with its wallet and journal.
type router struct {
	world       *world
	name        string
	folder      string
	policy      kcwgrant.Config
	link        *link
	journal     *kcwjournal.Journal
	wallet      *kcwwallet.Wallet
	incarnation uint64
	attempt     uint64
	// grantsOnly makes the wallet open all claims on grants.
	grantsOnly bool
}

func newRouter(w *world, name string, policy kcwgrant.Config) *router {
	folder, err := os.MkdirTemp("", "kcwwallet")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = os.RemoveAll(folder) })
	r := &router{world: w, name: name, folder: folder, policy: policy, link: &link{world: w}}
	r.start()
	return r
}

// start starts a new incarnation. A running one ends as in a crash.
func (r *router) start() {
	if r.journal != nil {
		_ = r.journal.Close()
	}
	r.incarnation++
	r.world.apply(&kcwpb.Command{Op: &kcwpb.Command_RegisterRouter{RegisterRouter: &kcwpb.RegisterRouter{
		Router: r.name, Incarnation: r.incarnation, Address: r.name + ":1",
	}}})
	var err error
	if r.folder != "" {
		if r.journal, err = kcwjournal.Open(kcwjournal.Config{Folder: r.folder}); err != nil {
			r.world.t.Fatal(err)
		}
	}
	r.wallet, err = kcwwallet.New(kcwwallet.Config{
		Ledger: r.ledger(), Journal: r.journal, Policy: kcwgrant.New(r.policy), Router: r.name, Incarnation: r.incarnation,
		LedgerDeadline: time.Second, ProbeAfter: time.Second, Now: r.world.clock,
	})
	if err != nil {
		r.world.t.Fatal(err)
	}
}

// submitter is the ledger as the wallet uses it.
type submitter interface {
	Submit(ctx context.Context, cmd *kcwpb.Command) (*kcwpb.Result, error)
}

// ledger returns the ledger that the router's wallet uses.
func (r *router) ledger() submitter {
	if r.grantsOnly {
		return &escrowLink{link: r.link}
	}
	return r.link
}

// open opens a claim and returns the command that settles it, with the result.
func (r *router) open(request string, tokens int64, repeatable bool) (*kcwpb.SettleClaim, *kcwpb.Result, error) {
	r.attempt++
	settle := &kcwpb.SettleClaim{
		Customer: customer, Request: request, Router: r.name, Incarnation: r.incarnation,
		Attempt: r.attempt, Repeatable: repeatable, Tokens: tokens,
	}
	result, err := r.wallet.Open(context.Background(), &kcwpb.OpenClaim{
		Customer: customer, Request: request, Router: r.name, Incarnation: r.incarnation, Attempt: r.attempt,
		Repeatable: repeatable, Tokens: tokens, LeaseNanos: int64(time.Minute),
	})
	return settle, result, err
}

// settle closes a claim.
func (r *router) settle(claim *kcwpb.SettleClaim, outcome kcwpb.Outcome, tokens int64) (*kcwpb.Result, error) {
	claim = proto.Clone(claim).(*kcwpb.SettleClaim)
	claim.Outcome, claim.Tokens = outcome, tokens
	return r.wallet.Settle(context.Background(), claim)
}

func (r *router) reconcile() { r.wallet.Reconcile(context.Background()) }

// commandsOf returns the traced commands about request.
func (w *world) commandsOf(request string) string {
	var lines strings.Builder
	for _, line := range w.trace {
		if strings.Contains(line, `request:"`+request+`"`) || strings.Contains(line, "register_router") {
			lines.WriteString("\n" + line)
		}
	}
	return lines.String()
}

// budget returns the budget's state as text.
func (w *world) budget() string {
	b := w.book.Budget(customer)
	return fmt.Sprintf("billed %d reserved %d granted %d", b.GetBilled(), b.GetReserved(), b.GetGranted())
}
