package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// betweenTokens makes an answer stream of the engine last about one second.
const betweenTokens = 20 * time.Millisecond

func streamBody(word string) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"Write at length about %s."}],"max_tokens":400,"stream":true}`, word)
}

// claim is one claim in the ledger's dump.
type claim struct {
	Request, State string
	Tokens         int64
}

// checkBills fails the test unless each identity is billed once, with the tokens
// of its first finished run, and the engine has recorded at most maxRuns finished
// runs of it.
func (f *fleet) checkBills(identities []string, maxRuns int) {
	f.t.Helper()
	var dump struct{ Claims []claim }
	if err := json.Unmarshal(f.ctl("dump"), &dump); err != nil {
		f.t.Fatal(err)
	}
	bills := map[string][]claim{}
	for _, c := range dump.Claims {
		bills[c.Request] = append(bills[c.Request], c)
	}
	used := map[string][]int64{}
	for _, e := range f.record(engineControl) {
		if e.Outcome == "Finished" {
			used[e.Request] = append(used[e.Request], e.PromptTokens+e.CompletionTokens)
		}
	}
	for _, identity := range identities {
		billed, runs := bills[identity], used[identity]
		if len(billed) != 1 || len(runs) < 1 || len(runs) > maxRuns || billed[0].State != "Billed" || billed[0].Tokens != runs[0] {
			f.t.Errorf("%s: billed %+v for runs of %v tokens", identity, billed, runs)
		}
	}
}

// askAll requests streams concurrently through a router and returns once each has
// begun. The answers are sent to the returned channel.
func askAll(url string, identities []string) <-chan answer {
	answers := make(chan answer, len(identities))
	var begun sync.WaitGroup
	for _, identity := range identities {
		begun.Add(1)
		go func() { answers <- ask(url, "/v1/chat/completions", identity, streamBody(identity), begun.Done) }()
	}
	begun.Wait()
	return answers
}

func numberedNames(prefix string, n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint(prefix, "-", i))
	}
	return all
}

// TestPlannedStop checks that a router that receives SIGTERM completes its
// streams, returns its grants and exits without an error, while another router
// serves.
func TestPlannedStop(t *testing.T) {
	f := startFleet(t, 2, betweenTokens)
	long := numberedNames("long", 16)
	answers := askAll(routerURL(1), long)
	f.signal("router-1", syscall.SIGTERM)
	other := ask(routerURL(2), "/v1/chat/completions", "other", streamBody("other"), nil)
	if other.err != nil || !strings.HasSuffix(other.body, "data: [DONE]\n\n") {
		t.Errorf("through the other router: %+v", other)
	}
	for range long {
		if a := <-answers; a.err != nil || a.status != 200 || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
			t.Errorf("cut by the stop: %+v", a)
		}
	}
	if err := f.awaitExit("router-1"); err != nil {
		t.Errorf("the router exited with %v", err)
	}
	f.checkBills(append(long, "other"), 1)
	var dump struct {
		Grants []struct {
			Router string
			Tokens int64
		}
	}
	if err := json.Unmarshal(f.ctl("dump"), &dump); err != nil {
		t.Fatal(err)
	}
	for _, g := range dump.Grants {
		if g.Router == "router-1" && g.Tokens > 0 {
			t.Errorf("router-1 still holds %d tokens", g.Tokens)
		}
	}
}

// TestKilledRouter kills a router that has open streams and an open call that
// must not be repeated. Callers must not receive a truncated answer as complete.
// Retries of the streams through another router must be complete and billed once,
// and the call must not run again.
func TestKilledRouter(t *testing.T) {
	f := startFleet(t, 2, betweenTokens)
	open := numberedNames("open", 8)
	answers := askAll(routerURL(1), open)
	receipt := make(chan answer, 1)
	go func() { receipt <- ask(routerURL(1), "/services/app/receipts", "receipt", `{"Donor":"x"}`, nil) }()
	for deadline := time.Now().Add(fleetDeadline); len(f.record(appControl)) == 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	f.signal("router-1", syscall.SIGKILL)
	for range open {
		if a := <-answers; a.err == nil {
			t.Errorf("an answer was passed on as complete: %+v", a)
		}
	}
	if a := <-receipt; a.err == nil {
		t.Errorf("an answer was passed on as complete: %+v", a)
	}
	_ = f.awaitExit("router-1")
	for _, identity := range open {
		a := f.askUntilAnswered(identity)
		if a.err != nil || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
			t.Errorf("retry of %s: %+v", identity, a)
		}
	}
	f.checkBills(open, 1)
	retried := ask(routerURL(2), "/services/app/receipts", "receipt", `{"Donor":"x"}`, nil)
	if retried.status != 409 || !strings.Contains(retried.body, `"outcome":"unknown"`) {
		t.Errorf("retry of the receipt: %+v", retried)
	}
	if n := len(f.record(appControl)); n != 1 {
		t.Errorf("the receipt ran %d times", n)
	}
}

// TestFrozenRouter suspends a router that has open streams while retries through
// another router take over its claims. After it resumes, the router must detect
// that it no longer owns the claims, and must not complete any answer.
func TestFrozenRouter(t *testing.T) {
	f := startFleet(t, 2, betweenTokens)
	open := numberedNames("frozen", 4)
	answers := askAll(routerURL(1), open)
	f.signal("router-1", syscall.SIGSTOP)
	t.Cleanup(func() { f.signal("router-1", syscall.SIGCONT) })
	for _, identity := range open {
		a := f.askUntilAnswered(identity)
		if a.err != nil || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
			t.Errorf("retry of %s: %+v", identity, a)
		}
	}
	f.signal("router-1", syscall.SIGCONT)
	for range open {
		if a := <-answers; a.err == nil {
			t.Errorf("an answer was passed on as complete: %+v", a)
		}
	}
	f.checkBills(open, 2)
}

// askUntilAnswered requests a stream through the second router until the status
// isn't 409, which tells the caller to retry later.
func (f *fleet) askUntilAnswered(identity string) answer {
	f.t.Helper()
	for deadline := time.Now().Add(fleetDeadline); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		a := ask(routerURL(2), "/v1/chat/completions", identity, streamBody(identity), nil)
		if a.status != 409 {
			return a
		}
	}
	f.t.Fatalf("%s is not answered", identity)
	return answer{}
}
