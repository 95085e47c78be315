package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and sizes of the case.
const (
	// taintedPart is the part of a prompt that crashes workers.
	taintedPart  = "bad0"
	taintedPause = 3 * time.Second
	taintWorkers = 18
	soundPause   = 100 * time.Millisecond
	taintTraffic = 45 * time.Second
	// crashDownTime is how long a crashed worker is away.
	crashDownTime = 2 * time.Second
	// crashesAllowed and reachAllowed are the bounds of the rule.
	crashesAllowed = 5
	reachAllowed   = 3
)

// fragileWorker is a worker that crashes when it begins to write an answer on taintedPart. It
// starts again under its identity and at its address, and knows nothing of before.
type fragileWorker struct {
	id, ip  string
	port    string
	crashes *crashes

	mu     sync.Mutex
	server *http.Server
}

// crashes counts, over all workers, the crashes and the arrivals of requests with the tainted part.
type crashes struct {
	record *record

	mu       sync.Mutex
	times    []time.Duration
	arrivals []time.Duration
	sound    int
}

func newFragileWorker(c *crashes, id, ip string) (*fragileWorker, error) {
	w := &fragileWorker{id: id, ip: ip, port: "0", crashes: c}
	return w, w.listen()
}

// listen starts the worker.
func (w *fragileWorker) listen() error {
	listener, err := net.Listen("tcp", w.ip+":"+w.port)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, w.port, _ = net.SplitHostPort(listener.Addr().String())
	w.server = &http.Server{Handler: w}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	return nil
}

func (w *fragileWorker) instance(service, zone string) instance {
	return instance{id: w.id, service: service, address: w.ip + ":" + w.port, zone: zone, state: "ready"}
}

func (w *fragileWorker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.server.Close()
}

// crash closes all channels. The worker is back after crashDownTime.
func (w *fragileWorker) crash(id string) {
	c := w.crashes
	c.mu.Lock()
	c.times = append(c.times, c.record.elapsed())
	c.record.add("worker %s: crashes on %s, crash %d", w.id, id, len(c.times))
	c.mu.Unlock()
	w.close()
	time.AfterFunc(crashDownTime, func() {
		err := w.listen()
		c.record.add("worker %s: is back under its identity, error %v", w.id, err)
	})
}

// ServeHTTP runs a generation.
func (w *fragileWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.RequestID)
	isTainted := strings.Contains(r.Header.Get(wire.Prompt), taintedPart+":")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if isTainted {
		w.crashes.mu.Lock()
		w.crashes.arrivals = append(w.crashes.arrivals, w.crashes.record.elapsed())
		w.crashes.mu.Unlock()
		w.crashes.record.add("worker %s: has got %s, prompt %s", w.id, id, r.Header.Get(wire.Prompt))
	}
	time.Sleep(30 * time.Millisecond)
	if isTainted {
		w.crash(id)
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set(wire.RequestID, id)
	rw.Header().Set(wire.Seal, "seal-"+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= 4; event++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: event %d\n\n", event, event); err != nil || http.NewResponseController(rw).Flush() != nil {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.crashes.mu.Lock()
	defer w.crashes.mu.Unlock()
	w.crashes.sound++
}

func taintDocument() string {
	const eventTokens = 3
	return document(1, 100_000_000, engineService(eventTokens), streamRoute("draft", generateRoute, 4*time.Second, 1, false))
}

// taintCase sends sound requests to a service, and one with the tainted part every three seconds.
// Crashed workers start again under their identity.
func taintCase(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, 3)
	if err != nil {
		return failed, err
	}
	defer f.close("Parts blocked", "PartBlocked")
	c := &crashes{record: rec}
	var instances []instance
	for n := 1; n <= taintWorkers; n++ {
		w, err := newFragileWorker(c, fmt.Sprintf("i-model-%d", n), f.ip(4+n))
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
	if status := newOperator(f, 1, 2, 3).put(taintDocument(), 20*time.Second); status != http.StatusOK {
		return failed, fmt.Errorf("the configuration got status %d", status)
	}
	if err := f.awaitReady(3); err != nil {
		return failed, err
	}
	var wait sync.WaitGroup
	begin := rec.elapsed()
	if trouble {
		wait.Go(func() {
			for i := 0; rec.elapsed() < begin+taintTraffic; i++ {
				time.Sleep(taintedPause)
				wait.Go(func() {
					f.prompt(1+i%3, fmt.Sprintf("tainted-%d", i), fmt.Sprintf("5a5a:800,%s:400,%d:100", taintedPart, 1000+i))
				})
			}
		})
	}
	for i := 0; rec.elapsed() < begin+taintTraffic; i++ {
		wait.Go(func() {
			f.prompt(1+i%3, fmt.Sprintf("sound-%d", i), fmt.Sprintf("5a5a:800,60%d:400,%d:100", i%7, 100000+i))
		})
		time.Sleep(soundPause)
	}
	wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	rec.add("%d crashes; %d requests with the tainted part have reached workers; %d sound requests were answered", len(c.times), len(c.arrivals), c.sound)
	if len(c.times) < crashesAllowed {
		return held, nil
	}
	from, late := c.times[crashesAllowed-1]+contact, 0
	for _, at := range c.arrivals {
		if at > from {
			late++
		}
	}
	rec.add("the fifth crash was at %v; %d of these requests have reached workers later than %v after it, where %d may", c.times[crashesAllowed-1], late, contact, reachAllowed)
	if late > reachAllowed {
		return broken, nil
	}
	return held, nil
}

// prompt sends one generation on a channel of its own.
func (f *fleet) prompt(machine int, id, parts string) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.at(machine, frontPort)+generateRoute+"1", strings.NewReader("prompt"))
	if err != nil {
		return
	}
	r.Host = host
	for name, value := range map[string]string{
		wire.RequestID: id, wire.Model: "m", wire.TokenCounts: "1300,12", wire.Prompt: parts, wire.Deadline: "4000", "Authorization": "Token key-shop",
	} {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	status, err := readStatus(client.Do(r))
	if strings.HasPrefix(id, "tainted") || err != nil {
		f.record.add("client: %s at machine %d: status %d, error %v", id, machine, status, err)
	}
}
