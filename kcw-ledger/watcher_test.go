package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwcatalog"
	"kingcupwick.example/kcw/kcwcontract"
	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

// waitBound is for how long a condition is waited for.
const waitBound = 40 * time.Second

// await returns once holds does, and fails the test if it doesn't.
func await(tb testing.TB, what string, holds func() bool) {
	tb.Helper()
	for end := time.Now().Add(waitBound); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatal("not in time: ", what)
		}
	}
}

// seed returns the seed of a random test.
func seed(tb testing.TB) int64 {
	tb.Helper()
	fixed := int64(20261204)
	if text := os.Getenv("KCW_SEED"); text != "" {
		free, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			tb.Fatal(err)
		}
		fixed = free
	}
	tb.Logf("seed %d", fixed)
	return fixed
}

// keyOf returns the customer's key.
func keyOf(customer string) string {
	return "key-of-" + customer
}

// putOf returns the command that gives customer's contract a weight, made from
// revision base.
func putOf(tb testing.TB, change, customer string, base uint64, weight int64) *kcwpb.Command {
	tb.Helper()
	contract := &kcwcontract.Contract{
		Customer:      customer,
		PrepaidTokens: 1_000_000,
		Weight:        weight,
		Limits:        kcwcontract.Limits{MaxPromptTokens: 1000, MaxCompletionTokens: 1000, DefaultCompletionTokens: 100, QueueDeadline: time.Second},
		Keys:          []kcwcontract.Key{{Name: "main", Hash: fmt.Sprintf("%x", kcwkeyring.Hash(keyOf(customer)))}},
		Models:        []kcwcontract.Model{{Name: "model", Upstream: "kcw-model"}},
	}
	if err := contract.Validate(); err != nil {
		tb.Fatal(err)
	}
	put := &kcwpb.PutContract{Change: change, Base: base, Contract: contract.Message()}
	return &kcwpb.Command{Op: &kcwpb.Command_PutContract{PutContract: put}}
}

// accept has cmd accepted and returns the revision that it gave.
func accept(tb testing.TB, c *kcwledger.Client, cmd *kcwpb.Command) uint64 {
	tb.Helper()
	result := change(tb, c, cmd)
	if result.Code != kcwpb.Code_CODE_OK && result.Code != kcwpb.Code_CODE_REPEATED {
		tb.Fatalf("change refused: %v", result)
	}
	return result.Revision
}

// watcher is a router's catalog on a client of its own.
type watcher struct {
	*kcwcatalog.Catalog
	name string

	mu      sync.Mutex
	highest uint64
	fell    string
}

// newWatcher runs a catalog that knows the contracts of customers, until the
// test ends.
func newWatcher(tb testing.TB, f *fleet, name string, customers ...string) *watcher {
	tb.Helper()
	catalog := kcwcatalog.New(kcwcatalog.Config{Ledger: f.client(tb, testKeys.Router), Router: name, Incarnation: 1})
	w := &watcher{Catalog: catalog, name: name}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = catalog.Run(ctx) })
	done.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(time.Millisecond) {
			w.observe()
		}
	})
	tb.Cleanup(func() {
		cancel()
		done.Wait()
		if w.fell != "" {
			tb.Error(w.name, w.fell)
		}
	})
	for _, customer := range customers {
		await(tb, name+" knows "+customer, func() bool { return w.weight(customer) > 0 })
	}
	return w
}

// observe takes note of the revision in force.
func (w *watcher) observe() {
	w.mu.Lock()
	defer w.mu.Unlock()
	revision := w.Revision()
	if revision < w.highest && w.fell == "" {
		w.fell = fmt.Sprintf(" fell from revision %d to %d", w.highest, revision)
	}
	w.highest = max(w.highest, revision)
}

// weight returns the weight in force for customer, zero if it isn't known.
func (w *watcher) weight(customer string) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	contract, err := w.ByKey(ctx, keyOf(customer))
	if err != nil {
		return 0
	}
	return contract.Weight
}

// askUntil looks customer up at the replica at address over and over, as routers
// that know nothing yet do, and fails the test at an answer below revision. It
// ends when the returned function is called, after at least one answer.
func askUntil(tb testing.TB, address netip.AddrPort, customer string, revision uint64) func() {
	tb.Helper()
	ledger := kcwpbconnect.NewLedgerClient(http.DefaultClient, "http://"+address.String())
	var done sync.WaitGroup
	var ended atomic.Bool
	done.Go(func() {
		answers := 0
		for end := time.Now().Add(waitBound); !ended.Load() || answers == 0; {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			answer, err := ledger.Lookup(ctx, bearing(testKeys.Router, &kcwpb.LookupRequest{Customer: customer}))
			cancel()
			if err == nil {
				answers++
			}
			if err == nil && answer.Msg.Revision < revision {
				tb.Errorf("%s answers at revision %d, found %v, want %d or more", address, answer.Msg.Revision, answer.Msg.Found, revision)
				return
			}
			if time.Now().After(end) {
				tb.Errorf("%s doesn't answer", address)
				return
			}
		}
	})
	return func() {
		ended.Store(true)
		done.Wait()
	}
}

// inForce waits until every watcher has revision, and customer's weight.
func inForce(tb testing.TB, watchers []*watcher, revision uint64, customer string, weight int64) {
	tb.Helper()
	for _, w := range watchers {
		await(tb, fmt.Sprintf("revision %d in force at %s, which has %d", revision, w.name, w.Revision()), func() bool {
			return w.Revision() >= revision
		})
		if got := w.weight(customer); got != weight {
			tb.Errorf("%s has weight %d in force at revision %d, want %d", w.name, got, revision, weight)
		}
	}
}
