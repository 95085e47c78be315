package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and sizes of the case.
const (
	drain = 3 * time.Second
	// oddPairs is the length of a list in the odd entry.
	oddPairs = 8000
	// drainTraffic is how long requests are sent after the list shows that a worker drains.
	drainTraffic = 12 * time.Second
)

// oddEntry returns an entry of another writer that can't be read, since it is cut short within a
// list.
func oddEntry() string {
	return `{"id":"i-7","service":"other","tags":[` + strings.Repeat("[],", oddPairs) + `["`
}

// arrivals holds when requests reached a worker.
type arrivals struct {
	mu    sync.Mutex
	times []time.Duration
}

// oddListCase has a worker drain while the platform's list holds an entry of another writer that
// can't be read.
func oddListCase(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, 3)
	if err != nil {
		return failed, err
	}
	defer f.close("List of upstreams", "Upstreams changed")
	reached := &arrivals{}
	old, err := newWorker(rec, "i-desk-1", f.ip(5), func(w http.ResponseWriter, r *http.Request) {
		reached.mu.Lock()
		reached.times = append(reached.times, rec.elapsed())
		reached.mu.Unlock()
		_, _ = fmt.Fprintf(w, "answer to %s\n", r.Header.Get(wire.RequestID))
	})
	if err != nil {
		return failed, err
	}
	defer old.close()
	successor, err := newWorker(rec, "i-desk-2", f.ip(6), nil)
	if err != nil {
		return failed, err
	}
	defer successor.close()
	f.list.set(old.instance("desk", "zone-a"))
	if err := f.startAll(3); err != nil {
		return failed, err
	}
	if status := newOperator(f, 1, 2, 3).put(plainDocument(1), 20*time.Second); status != http.StatusOK {
		return failed, fmt.Errorf("the configuration got status %d", status)
	}
	if err := f.awaitReady(3); err != nil {
		return failed, err
	}
	time.Sleep(contact)
	if trouble {
		f.list.setOdd(oddEntry())
		rec.add("platform: another writer adds an entry of %d bytes that can't be read", len(oddEntry()))
		time.Sleep(time.Second)
	}
	leaving := old.instance("desk", "zone-a")
	leaving.state = "draining"
	f.list.set(leaving, successor.instance("desk", "zone-b"))
	shownAt := rec.elapsed()
	rec.add("platform: the list shows that %s is draining, and its successor %s", old.id, successor.id)
	for i := 0; rec.elapsed() < shownAt+drainTraffic; i++ {
		header := map[string]string{wire.RequestID: fmt.Sprintf("d-%d", i), wire.Deadline: "1000", "Authorization": "Token key-shop"}
		f.request(1+i%3, http.MethodPost, "/book/1", "a booking", header)
		time.Sleep(200 * time.Millisecond)
	}
	// The worker ends, a little later than drain after the list has shown it.
	old.close()
	rec.add("worker %s: has ended", old.id)
	served, sent := 0, 15
	for i := range sent {
		header := map[string]string{wire.RequestID: fmt.Sprintf("e-%d", i), wire.Deadline: "1000", "Authorization": "Token key-shop"}
		if f.request(1+i%3, http.MethodPost, "/book/1", "a booking", header).status == http.StatusOK {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	reached.mu.Lock()
	defer reached.mu.Unlock()
	late := 0
	for _, at := range reached.times {
		if at > shownAt+drain {
			late++
		}
	}
	rec.add("%d requests have reached the draining worker later than %v after the list showed it; after its end, %d of %d requests were served", late, drain, served, sent)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
