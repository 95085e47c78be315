package kcwallowance

import (
	"errors"
	"io"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// Write means that an image could not be written.
	Write Kind = iota + 1
	// Damaged means that an image could not be read or decoded.
	Damaged
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return "kcwallowance: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Freeze returns a function that writes an image of the state at the time of the
// call. The function may run in any goroutine while the table applies further
// commands. It returns an *Error if w fails. Tables in the same state write the
// same bytes.
func (t *Table) Freeze() func(io.Writer) error {
	t.mu.RLock()
	defer t.mu.RUnlock()
	image := t.image()
	return func(w io.Writer) error {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(image)
		if err == nil {
			_, err = w.Write(data)
		}
		if err != nil {
			return &Error{Op: "freeze", Kind: Write, Err: eris.Wrap(err, "write the image")}
		}
		return nil
	}
}

// image returns the state as a message. Equal states give equal messages.
func (t *Table) image() *kcwpb.FleetImage {
	image := &kcwpb.FleetImage{Document: t.document}
	for _, name := range t.routerNames() {
		r := t.routers[name]
		image.Routers = append(image.Routers, &kcwpb.SyncAllowances{
			Router: name, Incarnation: r.incarnation, Serial: r.serial, Boot: r.boot, Reported: r.reported,
			Activation: int64(r.accrual.End), Span: int64(r.accrual.End - r.accrual.Start),
			Wall: r.clock.wall, Stamp: r.clock.stamp,
		})
		image.Clocks = append(image.Clocks, &kcwpb.FleetClock{
			Router: name, Lag: r.clock.lag, From: r.clock.shift.from, To: r.clock.shift.to, Shift: r.clock.shift.amount, Epoch: r.clock.epoch,
		})
		for _, team := range slices.Sorted(maps.Keys(r.teams)) {
			held := r.teams[team]
			image.Holdings = append(image.Holdings, &kcwpb.FleetHolding{
				Router: name, Incarnation: r.incarnation, Team: team,
				Granted: held.granted, Returned: held.returned, Spent: held.spent,
				Reserved: held.reserved, Want: held.want, Limit: held.limit,
			})
		}
	}
	for _, team := range slices.Sorted(maps.Keys(t.budgets)) {
		image.Retired = append(image.Retired, &kcwpb.TeamBudget{Team: team, Prepaid: t.budgets[team].retired})
	}
	image.Epoch = t.epoch
	image.Blocks, image.BlocksVersion = t.blocks, t.blocksVersion
	image.Evacuations = t.evacuations
	for _, c := range t.claims {
		record := &kcwpb.FleetClaim{From: c.shift.from, To: c.shift.to, Shift: c.shift.amount}
		for _, team := range slices.Sorted(maps.Keys(c.unused)) {
			record.Kept = append(record.Kept, &kcwpb.TeamBudget{Team: team, Prepaid: c.unused[team]})
		}
		image.Claims = append(image.Claims, record)
	}
	return image
}

// Restore replaces the state by the image read from r. If the image can't be read
// or decoded, Restore returns an *Error of kind Damaged and leaves the table
// unchanged.
func (t *Table) Restore(r io.Reader) error {
	data, err := io.ReadAll(r)
	image := &kcwpb.FleetImage{}
	if err == nil {
		err = proto.Unmarshal(data, image)
	}
	if err == nil && image.GetDocument() == nil {
		err = errors.New("no document record")
	}
	if err != nil {
		return &Error{Op: "restore", Kind: Damaged, Err: eris.Wrap(err, "read the image")}
	}
	next := New()
	next.load(image)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.document, t.routers, t.budgets = next.document, next.routers, next.budgets
	t.epoch, t.claims = next.epoch, next.claims
	t.blocks, t.blocksVersion = next.blocks, next.blocksVersion
	t.evacuations = next.evacuations
	return nil
}

// load fills an empty table from the image.
func (t *Table) load(image *kcwpb.FleetImage) {
	t.document = image.GetDocument()
	for _, b := range t.document.GetBudgets() {
		t.budget(b.GetTeam()).prepaid = b.GetPrepaid()
	}
	for _, b := range image.GetRetired() {
		t.budget(b.GetTeam()).retired = b.GetPrepaid()
		t.budget(b.GetTeam()).outstanding = b.GetPrepaid()
	}
	for _, r := range image.GetRouters() {
		t.routers[r.GetRouter()] = &router{
			incarnation: r.GetIncarnation(), serial: r.GetSerial(), boot: r.GetBoot(), reported: r.GetReported(), accrual: accrual(r), teams: map[string]*totals{},
			clock: clock{wall: r.GetWall(), stamp: r.GetStamp()},
		}
	}
	t.epoch = image.GetEpoch()
	t.blocks, t.blocksVersion = image.GetBlocks(), image.GetBlocksVersion()
	if evacuations := image.GetEvacuations(); evacuations != nil {
		t.evacuations = evacuations
	}
	for _, c := range image.GetClocks() {
		if r := t.routers[c.GetRouter()]; r != nil {
			r.clock.lag, r.clock.epoch = c.GetLag(), c.GetEpoch()
			r.clock.shift = clockShift{c.GetFrom(), c.GetTo(), c.GetShift()}
		}
	}
	for _, record := range image.GetClaims() {
		c := claim{shift: clockShift{record.GetFrom(), record.GetTo(), record.GetShift()}, unused: map[string]int64{}}
		for _, unused := range record.GetKept() {
			c.unused[unused.GetTeam()] = unused.GetPrepaid()
		}
		t.claims = append(t.claims, c)
	}
	for _, h := range image.GetHoldings() {
		r := t.routers[h.GetRouter()]
		if r == nil {
			continue
		}
		r.teams[h.GetTeam()] = &totals{
			granted: h.GetGranted(), returned: h.GetReturned(), spent: h.GetSpent(),
			reserved: h.GetReserved(), want: h.GetWant(), limit: h.GetLimit(),
		}
		b := t.budget(h.GetTeam())
		b.outstanding += h.GetGranted() - h.GetReturned()
		b.spent += h.GetSpent()
		b.wanted += h.GetWant()
	}
}
