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

// waitBound bounds the wait for a condition.
const waitBound = 40 * time.Second

// await waits until condition returns true, and fails the test after waitBound.
func await(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(waitBound); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatal("timed out waiting for: ", what)
		}
	}
}

// seed returns the seed of a randomized test: KCW_SEED if set, otherwise a
// constant.
func seed(tb testing.TB) int64 {
	tb.Helper()
	value := int64(20261204)
	if text := os.Getenv("KCW_SEED"); text != "" {
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			tb.Fatal(err)
		}
		value = parsed
	}
	tb.Logf("seed %d", value)
	return value
}

// keyOf returns the API key of customer.
func keyOf(customer string) string {
	return "key-of-" + customer
}

// putOf returns the command that sets the weight of customer's contract, based
// on revision base.
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

// mustChange executes an operator's cmd, fails the test if it is refused, and returns
// the resulting revision.
func mustChange(tb testing.TB, c *kcwledger.Client, cmd *kcwpb.Command) uint64 {
	tb.Helper()
	result := change(tb, c, cmd)
	if result.Code != kcwpb.Code_CODE_OK && result.Code != kcwpb.Code_CODE_REPEATED {
		tb.Fatalf("change refused: %v", result)
	}
	return result.Revision
}

// watcher is a router's catalog with its own client. It records whether the
// catalog's revision ever decreases.
type watcher struct {
	*kcwcatalog.Catalog
	name string

	mu         sync.Mutex
	highest    uint64
	regression string
}

// newWatcher starts a catalog that runs until the test ends, and waits until it
// has loaded the contracts of customers.
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
		if w.regression != "" {
			tb.Error(w.name, w.regression)
		}
	})
	for _, customer := range customers {
		await(tb, name+" has loaded "+customer, func() bool { return w.weight(customer) > 0 })
	}
	return w
}

// observe records the current revision, and the first decrease if there is one.
func (w *watcher) observe() {
	w.mu.Lock()
	defer w.mu.Unlock()
	revision := w.Revision()
	if revision < w.highest && w.regression == "" {
		w.regression = fmt.Sprintf(" went back from revision %d to %d", w.highest, revision)
	}
	w.highest = max(w.highest, revision)
}

// weight returns the current weight of customer, or zero if the contract can't be
// looked up.
func (w *watcher) weight(customer string) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	contract, err := w.ByKey(ctx, keyOf(customer))
	if err != nil {
		return 0
	}
	return contract.Weight
}

// lookupUntilStopped repeatedly looks up customer at the replica at address, as
// a router with an empty catalog does, and fails the test if an answer is older
// than revision. The returned function waits for at least one answer and stops
// the lookups.
func lookupUntilStopped(tb testing.TB, address netip.AddrPort, customer string, revision uint64) func() {
	tb.Helper()
	ledger := kcwpbconnect.NewLedgerClient(http.DefaultClient, "http://"+address.String())
	var done sync.WaitGroup
	var stopped atomic.Bool
	done.Go(func() {
		answers := 0
		for deadline := time.Now().Add(waitBound); !stopped.Load() || answers == 0; {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			answer, err := ledger.Lookup(ctx, withBearer(testKeys.Router, &kcwpb.LookupRequest{Customer: customer}))
			cancel()
			if err == nil {
				answers++
			}
			if err == nil && answer.Msg.Revision < revision {
				tb.Errorf("%s answers at revision %d, found %v, want %d or more", address, answer.Msg.Revision, answer.Msg.Found, revision)
				return
			}
			if time.Now().After(deadline) {
				tb.Errorf("%s doesn't answer", address)
				return
			}
		}
	})
	return func() {
		stopped.Store(true)
		done.Wait()
	}
}

// awaitInForce waits until every watcher has revision, then checks the weight of
// customer.
func awaitInForce(tb testing.TB, watchers []*watcher, revision uint64, customer string, weight int64) {
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
