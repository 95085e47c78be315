package kcwbook_test

import (
	"fmt"
	"io"
	"sync"
	"testing"
)

// TestReadsWhileApplying calls the read methods and writes images while commands
// are applied. The race detector finds unsynchronized access.
func TestReadsWhileApplying(t *testing.T) {
	l := newStockedLedger(t)
	done := make(chan struct{})
	var group sync.WaitGroup
	for _, read := range []func(){
		func() { l.book.Since(0); l.book.Contract(customer); l.book.Contracts(); l.book.Revision() },
		func() { l.book.Budgets(); l.book.Budget(customer); l.book.Grants(""); l.book.Routers() },
		func() { l.book.Claims(customer); l.book.Claim(customer, "r-1"); l.book.Changes(customer) },
		func() { _ = l.book.Freeze()(io.Discard) },
	} {
		group.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					read()
				}
			}
		})
	}
	for i := range 300 {
		request := fmt.Sprint("r-", i)
		l.wantCode(l.open(opening("a", request, 10)), ok)
		outcome := ran
		if i%2 == 0 {
			outcome = notRun
		}
		l.wantCode(l.settle(settling("a", request, outcome, 1)), ok)
		l.wantCode(l.topUp(fmt.Sprint("t-", i), 1), ok)
	}
	close(done)
	group.Wait()
}
