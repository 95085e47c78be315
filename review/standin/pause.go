package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The workers of this case make a token every pauseTokenTime. An event holds seven of them, so that
// the events of a stream come within the pause of 600 ms that the sheet allows.
const (
	pausePrefill     = 50 * time.Millisecond
	pauseTokenTime   = 85 * time.Millisecond
	pauseEventTokens = 7
	pauseEvents      = 7
	// silence is how long the first worker falls silent after its first event.
	silence = 1600 * time.Millisecond
	// firstStream is the request in whose stream the worker falls silent.
	firstStream = "s-1"
	// twiceAfter is the bound of the rule.
	twiceAfter = 400 * time.Millisecond
)

// run is one run of a request at a worker, from its first token to its end, which is zero while it
// is under way. Both times count from the start of the case.
type run struct {
	worker, request string
	began, ended    time.Duration
}

// runs holds the runs at all workers.
type runs struct {
	record *record

	// begun is closed once the first event of the first run was sent.
	begun chan struct{}

	mu  sync.Mutex
	all []*run
	// silent is the worker that fell silent, and goesOnAt when it goes on.
	silent   string
	goesOnAt time.Time
}

// fallSilent begins the silence of a worker, if none has been silent before.
func (s *runs) fallSilent(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent == "" {
		s.silent, s.goesOnAt = name, time.Now().Add(silence)
		s.record.add("worker %s: is silent for %v", name, silence)
	}
}

// silenceLeft returns how much longer a worker is silent.
func (s *runs) silenceLeft(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent != name {
		return 0
	}
	return max(0, time.Until(s.goesOnAt))
}

// serve answers a request with events after Last-Event-Id. Its end by the close of the channel is
// noticed at once, also while the worker is silent.
func (s *runs) serve(name string, trouble bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Attempt-Id")
		current := &run{worker: name, request: id}
		finish := func(how string) {
			s.mu.Lock()
			current.ended = s.record.elapsed()
			s.mu.Unlock()
			s.record.add("worker %s: its run of %s ends: %s", name, id, how)
		}
		wait := func(d time.Duration) bool {
			select {
			case <-r.Context().Done():
				return false
			case <-time.After(s.silenceLeft(name) + d):
				return true
			}
		}
		after := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
		s.record.add("worker %s: has got %s, Last-Event-Id %q", name, id, r.Header.Get("Last-Event-Id"))
		if !wait(pausePrefill) {
			panic(http.ErrAbortHandler)
		}
		current.began = s.record.elapsed()
		s.mu.Lock()
		s.all = append(s.all, current)
		s.mu.Unlock()
		s.record.add("worker %s: makes a first token of %s", name, id)
		w.Header().Set("Content-Type", "text/event-stream")
		tokens := pauseEventTokens - 1
		for event := after + 1; event <= pauseEvents; event++ {
			if !wait(time.Duration(tokens) * pauseTokenTime) {
				finish("the channel was closed")
				panic(http.ErrAbortHandler)
			}
			tokens = pauseEventTokens
			if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", event, event); err != nil || http.NewResponseController(w).Flush() != nil {
				finish("it can't write")
				panic(http.ErrAbortHandler)
			}
			s.record.add("worker %s: sends event %d of %s", name, event, id)
			if id == firstStream && event == 1 {
				if trouble {
					s.fallSilent(name)
				}
				close(s.begun)
			}
		}
		finish("complete")
	}
}

// pauseCase has a sound worker fall silent for 1.6 s in the middle of a stream that may be resumed,
// and go on.
func pauseCase(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, 3)
	if err != nil {
		return failed, err
	}
	defer f.close("Hedge", "hedge", "Document in force")
	all := &runs{record: rec, begun: make(chan struct{})}
	var instances []instance
	for n := 1; n <= 2; n++ {
		id := fmt.Sprintf("i-model-%d", n)
		w, err := newWorker(rec, id, f.ip(4+n), all.serve(id, trouble))
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
	text := fmt.Sprintf(`{"version":1,"routes":[{"name":"draft","host":%q,"path_prefix":%q,"route_type":"stream","timeout_ms":15000,"target_latency_ms":800,"priority":1,"service":"model","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":600}],`+
		`"services":[{"name":"model","health_path":"/healthz","max_conns":380,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_tokens":352969,"kv_token_bytes":163840,"link_mbps":260000.0,"moves":true,"backups":true,"stride":%d,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"shop","api_keys":["key-shop"],"prepaid":1000000}]}`, host, generateRoute, pauseEventTokens)
	if status := newOperator(f, 1, 2, 3).put(text, 20*time.Second); status != http.StatusOK {
		return failed, fmt.Errorf("the configuration got status %d", status)
	}
	if err := f.awaitReady(3); err != nil {
		return failed, err
	}
	// All machines have been in touch for this long, undisturbed.
	time.Sleep(contact)
	var wait sync.WaitGroup
	wait.Go(func() { f.stream(firstStream) })
	wait.Go(func() {
		// A second client, whose prompt has the same first part.
		<-all.begun
		time.Sleep(50 * time.Millisecond)
		f.stream("s-2")
	})
	wait.Wait()
	time.Sleep(time.Second)
	all.mu.Lock()
	defer all.mu.Unlock()
	result := held
	for i, later := range all.all {
		for _, before := range all.all[:i] {
			if later.request != before.request {
				continue
			}
			overlap := before.ended - later.began
			rec.add("%s goes on at %s at %v; %s still works on it for %v after that", later.request, later.worker, later.began, before.worker, max(overlap, 0))
			if overlap > twiceAfter {
				result = broken
			}
		}
	}
	rec.add("%d runs", len(all.all))
	return result, nil
}

// stream sends a request for a stream to the first machine and records the events.
func (f *fleet) stream(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.at(1, frontPort)+generateRoute+"1", strings.NewReader("prompt"))
	if err != nil {
		return
	}
	r.Host = host
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Model": "m", "X-Token-Counts": fmt.Sprintf("%d,%d", promptTokens, pauseEventTokens*pauseEvents), "X-Prompt-Prefix": "7:800,8:200",
		"X-Deadline-Ms": "15000", "Authorization": "Token key-shop",
	} {
		r.Header.Set(name, value)
	}
	f.record.add("client: %s sent to machine 1", id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		f.record.add("client: %s: no answer: %v", id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	f.record.add("client: %s: status %d, body %q, error %v", id, response.StatusCode, data, err)
}
