package kcwcatalog

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"kingcupwick.example/kcw/kcwcontract"
	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwpb"
)

// seed is the fixed seed of the random tests.
const seed = 20261204

// fakeLedger holds contracts by customer. If afterAnswer is set, Lookup calls it
// after it has made its answer.
type fakeLedger struct {
	revision    uint64
	contracts   map[string]*kcwpb.Contract
	lookups     int
	afterAnswer func()
	isDown      bool
}

func (l *fakeLedger) Lookup(_ context.Context, req *kcwpb.LookupRequest) (*kcwpb.LookupResponse, error) {
	l.lookups++
	if l.isDown {
		return nil, errors.New("no replica")
	}
	answer := &kcwpb.LookupResponse{Revision: l.revision}
	for _, c := range l.contracts {
		for _, hash := range c.GetKeyHashes() {
			if kcwkeyring.Equal(hash, req.GetKeyHash()) {
				answer.Contract, answer.Found = c, true
			}
		}
	}
	if l.afterAnswer != nil {
		l.afterAnswer()
	}
	return answer, nil
}

func (l *fakeLedger) Watch(context.Context, *kcwpb.WatchRequest, func() uint64, func(*kcwpb.WatchEvent)) error {
	return nil
}

// change stores a new revision of a contract with the given key and weight, and
// returns the event that a watch would deliver.
func (l *fakeLedger) change(t *testing.T, customer, key string, weight int64, deleted bool) *kcwpb.WatchEvent {
	t.Helper()
	c := &kcwcontract.Contract{
		Customer: customer, PrepaidTokens: 100, Weight: weight,
		Limits: kcwcontract.Limits{MaxPromptTokens: 1, MaxCompletionTokens: 1, DefaultCompletionTokens: 1},
		Keys:   []kcwcontract.Key{{Name: "k", Hash: hex.EncodeToString(kcwkeyring.Hash(key))}},
	}
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	l.revision++
	m := c.Message()
	m.Revision, m.Deleted = l.revision, deleted
	l.contracts[customer] = m
	return &kcwpb.WatchEvent{Contracts: []*kcwpb.Contract{m}, Revision: l.revision, Fresh: true}
}

func newFake() (*fakeLedger, *Catalog, *time.Time) {
	now := time.Unix(1_000_000, 0)
	l := &fakeLedger{contracts: map[string]*kcwpb.Contract{}}
	return l, New(Config{Ledger: l, MaxContracts: 3, Now: func() time.Time { return now }}), &now
}

func checkWeight(t *testing.T, c *Catalog, key string, weight int64, kind Kind) {
	t.Helper()
	contract, err := c.ByKey(t.Context(), key)
	var failure *Error
	if kind != 0 {
		if !errors.As(err, &failure) || failure.Kind != kind {
			t.Errorf("ByKey(%s) = %v, %v, want kind %d", key, contract, err, kind)
		}
		return
	}
	if err != nil || contract.Weight != weight {
		t.Errorf("ByKey(%s) = %+v, %v, want weight %d", key, contract, err, weight)
	}
}

func TestChanges(t *testing.T) {
	l, c, now := newFake()
	first := l.change(t, "a", "key-a", 1, false)
	checkWeight(t, c, "key-a", 1, 0)
	checkWeight(t, c, "key-a", 1, 0)
	if l.lookups != 1 {
		t.Errorf("%d lookups, want 1", l.lookups)
	}
	second := l.change(t, "a", "key-a", 2, false)
	c.apply(second)
	checkWeight(t, c, "key-a", 2, 0)
	c.apply(first)
	checkWeight(t, c, "key-a", 2, 0)
	if c.Revision() != 2 {
		t.Errorf("revision %d after an older event", c.Revision())
	}
	c.apply(l.change(t, "a", "key-new", 3, false))
	checkWeight(t, c, "key-new", 3, 0)
	checkWeight(t, c, "key-a", 0, KindUnknown)
	c.apply(l.change(t, "a", "key-new", 3, true))
	checkWeight(t, c, "key-new", 0, KindUnknown)
	*now = now.Add(time.Hour)
	checkWeight(t, c, "key-new", 0, KindUnknown)
}

func TestUnknownKeys(t *testing.T) {
	l, c, now := newFake()
	checkWeight(t, c, "key-a", 0, KindUnknown)
	checkWeight(t, c, "key-a", 0, KindUnknown)
	if l.lookups != 1 {
		t.Errorf("%d lookups, want 1", l.lookups)
	}
	c.apply(l.change(t, "a", "key-a", 1, false))
	checkWeight(t, c, "key-a", 1, 0)
	checkWeight(t, c, "key-b", 0, KindUnknown)
	*now = now.Add(time.Hour)
	l.isDown = true
	checkWeight(t, c, "key-b", 0, KindUnavailable)
	checkWeight(t, c, "key-a", 1, 0)
}

// TestLookupOvertaken checks that a change which the watch delivers during a lookup
// is not lost.
func TestLookupOvertaken(t *testing.T) {
	l, c, _ := newFake()
	l.change(t, "a", "key-a", 1, false)
	l.afterAnswer = func() {
		l.afterAnswer = nil
		c.apply(l.change(t, "a", "key-a", 2, false))
	}
	checkWeight(t, c, "key-a", 2, 0)
}

func TestBounded(t *testing.T) {
	l, c, _ := newFake()
	for i := range 5 {
		l.change(t, fmt.Sprint("c", i), fmt.Sprint("key-", i), int64(i+1), false)
	}
	for i := range 5 {
		checkWeight(t, c, fmt.Sprint("key-", i), int64(i+1), 0)
	}
	if n, _ := c.Size(); n != 3 || len(c.keys) != 3 {
		t.Errorf("%d contracts and %d keys in the working set, want 3", n, len(c.keys))
	}
	checkWeight(t, c, "key-0", 1, 0)
}

// TestRevisionsRise checks that events in any order, repeated or not, never lower
// the revision or restore an older contract.
func TestRevisionsRise(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	properties := gopter.NewProperties(parameters)
	properties.Property("revisions only rise", prop.ForAll(func(order []int) bool {
		l, c, _ := newFake()
		events := make([]*kcwpb.WatchEvent, 8)
		for i := range events {
			events[i] = l.change(t, "a", "key-a", int64(i+1), false)
		}
		if _, err := c.ByKey(t.Context(), "key-a"); err != nil {
			return false
		}
		last, weight := c.Revision(), int64(8)
		for _, n := range order {
			c.apply(events[n])
			contract, err := c.ByKey(t.Context(), "key-a")
			if err != nil || c.Revision() < last || contract.Weight != weight {
				return false
			}
			last = c.Revision()
		}
		return true
	}, gen.SliceOf(gen.IntRange(0, 7))))
	properties.TestingRun(t)
}
