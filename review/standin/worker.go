package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// worker is a stand-in of a plain, sound worker.
type worker struct {
	id       string
	record   *record
	listener net.Listener
	// serve answers a request that is run; a plain answer if nil.
	serve http.HandlerFunc
	mu    sync.Mutex
	runs  []string
}

func newWorker(rec *record, id, ip string, serve http.HandlerFunc) (*worker, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, record: rec, listener: listener, serve: serve}
	go func() { _ = http.Serve(listener, w) }()
	return w, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

func (w *worker) close() { _ = w.listener.Close() }

// instance returns the worker's entry in the platform's list.
func (w *worker) instance(service, zone string) instance {
	return instance{id: w.id, service: service, address: w.address(), zone: zone, state: "ready"}
}

// ServeHTTP runs a request that expects this worker.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.RequestID)
	rw.Header().Set(wire.RequestID, id)
	if expected := r.Header.Get(wire.ExpectedUpstream); expected != "" && expected != w.id {
		rw.Header().Set(wire.Upstream, w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	// The end of the channel is noticed only once the body has been read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	w.runs = append(w.runs, id)
	w.mu.Unlock()
	w.record.add("worker %s: runs %s for tenant %q", w.id, id, r.Header.Get(wire.Team))
	rw.Header().Set(wire.Seal, "seal-"+id)
	if w.serve != nil {
		w.serve(rw, r)
		return
	}
	_, _ = fmt.Fprintf(rw, "answer to %s\n", id)
}

// ran returns how often the worker ran a request.
func (w *worker) ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, run := range w.runs {
		if run == id {
			n++
		}
	}
	return n
}
