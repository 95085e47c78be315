package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case. Those with After in the name count from the SIGTERM.
const (
	grace = 8 * time.Second
	// stopEventTime is the time between two events of a stream. The events of shortStreams and
	// of the long one come at the same pace.
	stopEventTime = 100 * time.Millisecond
	shortEvents   = 4
	longEvents    = 25
	// chatEvents are the events of a stream that is under way at the SIGTERM and ends before the
	// end of the grace period.
	chatEvents     = 76
	numShort       = 30
	longSentAfter  = 6 * time.Second
	stopTokenRatio = 3
)

// sized answers with as many events as the request's token count allows, at a steady pace.
func sized(rec *record, name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(wire.RequestID)
		var prompt, output int
		_, _ = fmt.Sscanf(r.Header.Get(wire.TokenCounts), "%d,%d", &prompt, &output)
		w.Header().Set("Content-Type", "text/event-stream")
		for event := 1; event <= output/stopTokenRatio; event++ {
			select {
			case <-r.Context().Done():
				rec.add("worker %s: the channel of %s was closed after %d events, while it works on it", name, id, event-1)
				panic(http.ErrAbortHandler)
			case <-time.After(stopEventTime):
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", event, event); err != nil || http.NewResponseController(w).Flush() != nil {
				rec.add("worker %s: can't write event %d of %s", name, event, id)
				panic(http.ErrAbortHandler)
			}
		}
		rec.add("worker %s: completes %s", name, id)
	}
}

func stopDocument() string {
	const timeout = 15 * time.Second
	return document(1, 10_000_000, engineService(stopTokenRatio),
		streamRoute("draft", generateRoute, timeout, 2, true), streamRoute("chat", "/chat/", timeout, 2, true))
}

// stopCase sends SIGTERM to a router. Its clients have sent short streams; one that has kept its
// channel open asks for a longer one six seconds after the SIGTERM.
func stopCase(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, 3)
	if err != nil {
		return failed, err
	}
	defer f.close("Router drains", "Router closes", "Stop aborted", "Router stopped", "StreamBroken")
	var instances []instance
	for n := 1; n <= 2; n++ {
		id := fmt.Sprintf("i-model-%d", n)
		w, err := newWorker(rec, id, f.ip(4+n), sized(rec, id))
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
	if status := newOperator(f, 1, 2, 3).put(stopDocument(), 20*time.Second); status != http.StatusOK {
		return failed, fmt.Errorf("the configuration got status %d", status)
	}
	if err := f.awaitReady(3); err != nil {
		return failed, err
	}
	var wait sync.WaitGroup
	for i := range numShort {
		wait.Go(func() {
			f.kept(&http.Client{Transport: &http.Transport{}}, generateRoute, fmt.Sprintf("short-%d", i), shortEvents)
		})
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	// The client of the case opens its channel, and another one begins a stream.
	client := &http.Client{Transport: &http.Transport{}}
	if !f.kept(client, generateRoute, "first", shortEvents).isWhole {
		return failed, fmt.Errorf("the first request was not served")
	}
	wait.Go(func() { f.kept(&http.Client{Transport: &http.Transport{}}, "/chat/", "chat", chatEvents) })
	time.Sleep(500 * time.Millisecond)
	begin := rec.elapsed()
	if trouble {
		f.signal("router-1", syscall.SIGTERM)
		wait.Go(func() {
			// The platform ends the process after the grace period.
			f.sleepUntil(begin + grace)
			f.kill("router-1")
		})
	}
	f.sleepUntil(begin + longSentAfter)
	got := f.kept(client, generateRoute, "long", longEvents)
	wait.Wait()
	rec.add("the long stream was sent %v after the SIGTERM: status %d, %d of %d events, whole: %v", longSentAfter, got.status, got.events, longEvents, got.isWhole)
	isLost := !got.isWhole && (got.status == http.StatusOK || got.status == 0)
	if isLost {
		return broken, nil
	}
	return held, nil
}

// streamResult is how a stream ended for its client. The status is zero if there was no answer.
type streamResult struct {
	status, events int
	isWhole        bool
}

// kept sends a request for a stream of the given length to the first machine, on the channel that
// the client has kept if it has one.
func (f *fleet) kept(client *http.Client, path, id string, events int) streamResult {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		f.record.add("client: %s is sent on a channel that was kept: %v", id, info.Reused)
	}})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.at(1, frontPort)+path+"1", strings.NewReader("prompt"))
	if err != nil {
		return streamResult{}
	}
	r.Host = host
	for name, value := range map[string]string{
		wire.RequestID: id, wire.Model: "m", wire.TokenCounts: fmt.Sprintf("%d,%d", promptTokens, stopTokenRatio*events), wire.Prompt: id + ":1000",
		wire.Deadline: "15000", "Authorization": "Token key-shop",
	} {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		f.record.add("client: %s: no answer: %v", id, err)
		return streamResult{}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	got := streamResult{response.StatusCode, strings.Count(string(data), "\n\n"), err == nil}
	got.isWhole = got.isWhole && got.status == http.StatusOK && got.events == events
	f.record.add("client: %s: status %d, %d events, error %v", id, got.status, got.events, err)
	return got
}
