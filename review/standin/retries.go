package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the site file, and times of the case.
const (
	retryRatio  = 0.2
	retrySlack  = 60
	retryWindow = 10 * time.Second

	// The workers are full from fullAfter on.
	requestsPerSecond = 12
	trafficTime       = 24 * time.Second
	fullAfter         = 10 * time.Second
	killAfter         = fullAfter + 2500*time.Millisecond
	downTime          = 500 * time.Millisecond
)

// retryCount holds when requests were sent, and when arrivals beyond the first of a request
// reached workers.
type retryCount struct {
	mu      sync.Mutex
	sent    []time.Duration
	arrived map[string]int
	again   []time.Duration
	// isFull is set while all workers are full.
	isFull atomic.Bool
}

// arrive counts an arrival.
func (c *retryCount) arrive(id string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived[id]++
	if c.arrived[id] > 1 {
		c.again = append(c.again, at)
	}
}

// within returns how many of the times are in the window that ends at end.
func within(times []time.Duration, end time.Duration) int {
	n := 0
	for _, at := range times {
		if at > end-retryWindow && at <= end {
			n++
		}
	}
	return n
}

// worst returns the window in which most arrivals beyond the bound came: its end, the arrivals
// beyond the first, and the bound.
func (c *retryCount) worst() (end time.Duration, again int, bound float64) {
	most := -1e9
	for _, at := range c.again {
		requests := max(within(c.sent, at), within(c.sent, at-retryWindow), within(c.sent, at-retryWindow/2))
		allowed := retryRatio*float64(requests) + retrySlack
		if n := within(c.again, at); float64(n)-allowed > most {
			most, end, again, bound = float64(n)-allowed, at, n, allowed
		}
	}
	return end, again, bound
}

// retriesCase has all workers of a service full, so that they turn requests away without running
// them. All processes of the system are killed once meanwhile and are back half a second later.
func retriesCase(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, 3)
	if err != nil {
		return failed, err
	}
	defer f.close("Document in force")
	count := &retryCount{arrived: map[string]int{}}
	var instances []instance
	for n := 1; n <= 4; n++ {
		id := fmt.Sprintf("i-desk-%d", n)
		w, err := newWorker(rec, id, f.ip(4+n), nil)
		if err != nil {
			return failed, err
		}
		defer w.close()
		w.isFull = func(request string) bool {
			count.arrive(request, rec.elapsed())
			return count.isFull.Load()
		}
		instances = append(instances, w.instance("desk", f.zone(n)))
	}
	f.list.set(instances...)
	if err := f.startAll(3); err != nil {
		return failed, err
	}
	if status := newOperator(f, 1, 2, 3).put(configuration(1, `[{"name":"shop","api_keys":["key-shop"],"priority":1,"prepaid":100000}]`), 20*time.Second); status != http.StatusOK {
		return failed, fmt.Errorf("the configuration got status %d", status)
	}
	if err := f.awaitReady(3); err != nil {
		return failed, err
	}
	// The routers learn how many they are.
	time.Sleep(2 * time.Second)
	var wait sync.WaitGroup
	begin := rec.elapsed()
	wait.Go(func() {
		f.sleepUntil(begin + fullAfter)
		count.isFull.Store(true)
		rec.add("the workers are full from now on")
	})
	if trouble {
		wait.Go(func() {
			f.sleepUntil(begin + killAfter)
			err = f.restartAll(3)
		})
	}
	for i := 0; rec.elapsed() < begin+trafficTime; i++ {
		wait.Go(func() { f.book(count, i) })
		time.Sleep(time.Second / requestsPerSecond)
	}
	wait.Wait()
	if err != nil {
		return failed, err
	}
	count.mu.Lock()
	defer count.mu.Unlock()
	end, again, bound := count.worst()
	rec.add("%d requests; in the %v that end at %v, %d arrivals beyond the first of each request, where %.1f are allowed", len(count.sent), retryWindow, end, again, bound)
	if float64(again) > bound {
		return broken, nil
	}
	return held, nil
}

// restartAll kills all daemons and starts them again.
func (f *fleet) restartAll(machines int) error {
	for n := 1; n <= machines; n++ {
		f.kill(fmt.Sprintf("router-%d", n))
		f.kill(fmt.Sprintf("control-%d", n))
	}
	time.Sleep(downTime)
	for n := 1; n <= machines; n++ {
		for _, role := range []string{"control", "router"} {
			if err := f.start(role, n, false, true); err != nil {
				return err
			}
		}
	}
	return nil
}

// book sends a booking, and once more, as a new request, when the time stated by a refusal is
// over. A refusal is a promise that the request has not run.
func (f *fleet) book(count *retryCount, i int) {
	for try := range 2 {
		id := fmt.Sprintf("b-%d-%d", i, try)
		count.mu.Lock()
		count.sent = append(count.sent, f.record.elapsed())
		count.mu.Unlock()
		a := f.request(1+(i+try)%3, http.MethodPost, "/book/1", "a booking", map[string]string{"X-Attempt-Id": id, "X-Deadline-Ms": "1000", "Authorization": "Token key-shop"})
		if a.status != http.StatusServiceUnavailable {
			return
		}
		seconds, err := strconv.ParseFloat(a.retryAfter, 64)
		if err != nil {
			seconds = 0.3
		}
		time.Sleep(time.Duration(min(seconds, 0.33) * float64(time.Second)))
	}
}
