package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// bookings is the number of bookings, bookingGap the time between two of them, and workTime the
	// time that a worker takes for one.
	bookings   = 600
	bookingGap = 10 * time.Millisecond
	workTime   = 40 * time.Millisecond
	// failShare is the share of its runs that the failing worker fails, and failFor how long.
	failShare = 0.45
	failFor   = 6500 * time.Millisecond
	// timeLimit is how long a client waits for one booking, with its retries.
	timeLimit = time.Second
	bookKey   = "n2ctnfzs989anu6wsjnb"
)

// bookDocument returns a configuration with one route of requests that must not be repeated. Each
// team has one key.
func bookDocument(version int, teams map[string]string) map[string]any {
	list := []any{}
	for name, key := range teams {
		list = append(list, map[string]any{"name": name, "keys": []string{key}, "priority": 1, "prepaid": 5133739})
	}
	return map[string]any{
		"version": version, "tenants": list,
		"routes": []any{map[string]any{
			"name": "r-book", "host": "ficu95.example", "prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 1000, "target": 150,
			"priority": 2, "service": "app", "attempts": 1, "public": false, "sticky": false, "resumable": false, "gap": 0,
		}},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz", "max_conns": 120, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// startBooking starts the fleet with the given configuration and three workers that serve handles.
func (f *fleet) startBooking(document map[string]any, serve func(worker int, w http.ResponseWriter, r *http.Request)) {
	for n := 1; n <= 3; n++ {
		f.startWorker(fmt.Sprintf("i-%d", n), "app", f.at(200+n, 8000), 6, func(w http.ResponseWriter, r *http.Request) { serve(n, w, r) })
		f.start("control", n, true, true)
		f.start("router", n, true, false)
	}
	if !f.put(3, document, 20*time.Second) {
		fail("the first configuration was not acknowledged")
	}
	for n := 1; n <= 3; n++ {
		if !f.awaitReady(n, 20*time.Second) {
			fail("router %d is not ready", n)
		}
	}
	time.Sleep(contact + time.Second)
}

// book sends one attempt of a booking to a router. The key is empty for none.
func (f *fleet) book(router int, id, booking, key string) (status int, seal string, retryAfter time.Duration) {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.at(router, frontPort)+"/book/"+booking, strings.NewReader(strings.Repeat("b", 600)))
	must(err)
	request.Host = "ficu95.example"
	request.Header.Set(header("attempt"), id)
	request.Header.Set(header("deadline"), strconv.Itoa(int(timeLimit.Milliseconds())))
	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	client := &http.Client{Timeout: timeLimit + 500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, response.Header.Get(header("seal")), time.Duration(seconds * float64(time.Second))
}

// playRefused books while one of three workers fails a part of its requests after it has run them.
func playRefused(f *fleet) bool {
	all := &runs{}
	var failUntil time.Time
	random := rand.New(rand.NewPCG(3, 4))
	var mu sync.Mutex
	f.startBooking(bookDocument(1, map[string]string{"hule930": bookKey}), func(worker int, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		n := all.begin(fmt.Sprintf("i-%d", worker), r.Header.Get(header("attempt")), r.URL.Path)
		time.Sleep(workTime)
		all.end(n, true)
		mu.Lock()
		fails := worker == 1 && time.Now().Before(failUntil) && random.Float64() < failShare
		mu.Unlock()
		w.Header().Set(header("seal"), "seal-of-"+n.id)
		if fails {
			// The booking has been made. There is no statement that it was not.
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, "the booking is made, but its receipt can't be written")
			return
		}
		_, _ = io.WriteString(w, "booked")
	})
	if trouble() {
		mu.Lock()
		failUntil = time.Now().Add(failFor)
		mu.Unlock()
	}
	var clients sync.WaitGroup
	broken, doubled := 0, 0
	for i := range bookings {
		clients.Go(func() {
			booking := fmt.Sprintf("b%03d", i)
			for try := range 2 {
				id := fmt.Sprintf("%08x%08x", i+1, try+1)
				status, seal, after := f.book(1+(i+try)%3, id, booking, bookKey)
				list := all.of(id)
				f.log("booking %s, attempt %s: status %d, seal %q; runs of the attempt: %d", booking, id, status, seal, len(list))
				isRefusal := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
				if !isRefusal {
					return
				}
				if len(list) > 0 {
					mu.Lock()
					broken++
					mu.Unlock()
					f.log("  BROKEN: the answer says that it was not run, and it was run at %s", list[0].worker)
				}
				time.Sleep(after)
			}
		})
		time.Sleep(bookingGap)
	}
	clients.Wait()
	for i := range bookings {
		if n := all.withText(fmt.Sprintf("/book/b%03d", i)); n > 1 {
			doubled++
		}
	}
	f.log("%d answers with a refusal to attempts that had run; %d of %d bookings were made twice", broken, doubled, bookings)
	return broken > 0
}

// withText returns the number of runs with a text in place of their last event.
func (r *runs) withText(text string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, n := range r.list {
		if n.lastEventID == text {
			count++
		}
	}
	return count
}
