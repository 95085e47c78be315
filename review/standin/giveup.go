package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The engine of this case makes its first token after prefillTime, in which the request also waits
// for its place in the batch, and one more every tokenTime. An event holds three tokens.
const (
	prefillTime = 200 * time.Millisecond
	tokenTime   = 40 * time.Millisecond
	eventTokens = 3
	numEvents   = 4

	promptTokens = 1000
	outputTokens = eventTokens * numEvents
	prepaid      = 40_000

	// numRequests are sent, one each pause. Three of ten clients leave after patience, which is
	// less than half of the objective of 500 ms.
	numRequests   = 100
	requestPause  = 50 * time.Millisecond
	patience      = 240 * time.Millisecond
	leavingOfTen  = 3
	generateRoute = "/draft/"
)

// consumption is what the workers have run for the tenant, in tokens.
type consumption struct {
	mu sync.Mutex
	// input counts the prompt tokens of the requests that have run, once for each, and output
	// the tokens in events that were delivered.
	input, output int
	runs, dropped int
}

// engine answers as a sound model worker that is slow. A request runs from its first token on.
// When its channel closes, it drops the request.
func (c *consumption) engine(rec *record, name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(wire.RequestID)
		drop := func(what string) {
			c.mu.Lock()
			c.dropped++
			c.mu.Unlock()
			rec.add("worker %s: drops %s, whose channel was closed, %s", name, id, what)
			panic(http.ErrAbortHandler)
		}
		wait := func(d time.Duration) bool {
			select {
			case <-r.Context().Done():
				return false
			case <-time.After(d):
				return true
			}
		}
		if !wait(prefillTime) {
			drop("before its first token: it has not run")
		}
		c.mu.Lock()
		c.runs++
		c.input += promptTokens
		c.mu.Unlock()
		rec.add("worker %s: makes the first token of %s, whose %d prompt tokens it has read", name, id, promptTokens)
		// The head of the answer tells the router that the request runs.
		w.Header().Set("Content-Type", "text/event-stream")
		if http.NewResponseController(w).Flush() != nil {
			drop("while it works on it")
		}
		for event := 1; event <= numEvents; event++ {
			tokens := eventTokens
			if event == 1 {
				tokens--
			}
			if !wait(time.Duration(tokens) * tokenTime) {
				drop("while it works on it")
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: text\n\n", event); err != nil || http.NewResponseController(w).Flush() != nil {
				drop("while it works on it")
			}
			c.mu.Lock()
			c.output += eventTokens
			c.mu.Unlock()
		}
	}
}

func giveUpDocument() string {
	return document(1, prepaid, engineService(eventTokens), streamRoute("draft", generateRoute, 6*time.Second, 1, false))
}

// giveUpCase lets clients of one tenant send generations for five seconds, through all machines.
// Three of ten leave before the first event has come, after the worker has begun to run their
// request.
func giveUpCase(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, 3)
	if err != nil {
		return failed, err
	}
	defer f.close("Document in force", "BudgetExhausted")
	used := &consumption{}
	var instances []instance
	for n := 1; n <= 2; n++ {
		id := fmt.Sprintf("i-model-%d", n)
		w, err := newWorker(rec, id, f.ip(4+n), used.engine(rec, id))
		if err != nil {
			return failed, err
		}
		defer w.close()
		instances = append(instances, w.instance("model", f.zone(n)))
	}
	f.list.set(instances...)
	if err := f.startAll(3); err != nil {
		return failed, err
	}
	if status := newOperator(f, 1, 2, 3).put(giveUpDocument(), 20*time.Second); status != http.StatusOK {
		return failed, fmt.Errorf("the configuration got status %d", status)
	}
	if err := f.awaitReady(3); err != nil {
		return failed, err
	}
	var wait sync.WaitGroup
	for i := range numRequests {
		leaves := trouble && i%10 < leavingOfTen
		wait.Go(func() { f.generate(1+i%3, fmt.Sprintf("g-%03d", i), leaves) })
		time.Sleep(requestPause)
	}
	wait.Wait()
	time.Sleep(time.Second)
	used.mu.Lock()
	defer used.mu.Unlock()
	rec.add("the tenant's prepaid tokens: %d", prepaid)
	rec.add("%d requests have run, of which %d were dropped because their clients left", used.runs, used.dropped)
	rec.add("consumed: %d input tokens of requests that have run and %d output tokens that were delivered, %d together", used.input, used.output, used.input+used.output)
	if used.input+used.output > prepaid {
		return broken, nil
	}
	return held, nil
}

// generate sends one generation on a channel of its own. If leaves is set, the client closes the
// channel after patience.
func (f *fleet) generate(machine int, id string, leaves bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	if leaves {
		ctx, cancel = context.WithTimeout(ctx, patience)
		defer cancel()
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.at(machine, frontPort)+generateRoute+"1", strings.NewReader("prompt"))
	if err != nil {
		return
	}
	r.Host = host
	for name, value := range map[string]string{
		wire.RequestID: id, wire.Model: "m", wire.TokenCounts: fmt.Sprintf("%d,%d", promptTokens, outputTokens), wire.Prompt: fmt.Sprintf("%s:%d", strings.TrimPrefix(id, "g-"), promptTokens),
		wire.Deadline: "6000", "Authorization": "Token key-shop",
	} {
		r.Header.Set(name, value)
	}
	f.record.add("client: %s sent to machine %d, leaves early: %v", id, machine, leaves)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	status, err := readStatus(client.Do(r))
	f.record.add("client: %s: status %d, error %v", id, status, err)
}
