package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// prefill is the time before the first event, and pace the time between two.
	prefill = 40 * time.Millisecond
	pace    = 20 * time.Millisecond
	events  = 6
	// downtime is how long a crashed worker is away.
	downtime = 2 * time.Second
)

// crashKind says when a worker crashes on a prompt with badPart.
type crashKind int

const (
	// never is a worker without the disruption.
	never crashKind = iota
	// beforeFirst is a crash in place of the first event, and afterFirst one after it.
	beforeFirst
	afterFirst
)

// badPart is the part of a prompt on which workers crash.
const badPart = "badbad01"

// pool is the workers of one service.
type pool struct {
	record  *record
	list    *list
	crash   crashKind
	mu      sync.Mutex
	workers []*worker
	// crashes and arrivals are the times of crashes, and of arrivals of prompts with badPart.
	crashes, arrivals []time.Time
	runs              map[string]int
}

// worker is one worker. It has a new ID after each start.
type worker struct {
	pool     *pool
	number   int
	starts   int
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	active   int
}

// startPool starts workers at addresses and lists them.
func startPool(r *record, l *list, crash crashKind, addresses []string) (*pool, error) {
	p := &pool{record: r, list: l, crash: crash, runs: map[string]int{}}
	for i, address := range addresses {
		w := &worker{pool: p, number: i + 1, address: address, conns: map[net.Conn]bool{}}
		p.workers = append(p.workers, w)
		if err := w.start(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// start starts the worker. The caller holds the lock of the pool once it is shared.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.listener = listener
	w.starts++
	w.pool.list.set(fmt.Sprintf("worker %d", w.number), w.entry())
	w.pool.record.line("worker %s starts at %s", w.id(), w.address)
	go w.accept(listener, w.starts)
	return nil
}

func (w *worker) id() string { return fmt.Sprintf("i-%d-%d", w.number, w.starts) }

func (w *worker) zone() string { return hosts[w.number%len(hosts)].zone }

func (w *worker) entry() instance {
	return instance{ID: w.id(), Service: "model", Address: w.address, Zone: w.zone(), Version: "v1", Slots: 64, State: "ready"}
}

func (w *worker) accept(listener net.Listener, incarnation int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.pool.mu.Lock()
		isCurrent := w.listener == listener
		if isCurrent {
			w.conns[conn] = true
		}
		w.pool.mu.Unlock()
		if !isCurrent {
			_ = conn.Close()
			return
		}
		go w.serve(conn, fmt.Sprintf("i-%d-%d", w.number, incarnation))
	}
}

// serve answers the requests of one connection.
func (w *worker) serve(conn net.Conn, id string) {
	defer func() {
		_ = conn.Close()
		w.pool.mu.Lock()
		delete(w.conns, conn)
		w.pool.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !w.answer(conn, r, id) {
			return
		}
	}
}

// answer answers one request and reports whether the connection goes on.
func (w *worker) answer(conn net.Conn, r *http.Request, id string) bool {
	switch r.URL.Path {
	case "/healthz":
		return plain(conn, http.StatusOK, names.Instance+": "+id+"\r\n", "")
	case names.Report:
		return plain(conn, http.StatusOK, "Content-Type: application/json\r\n", names.ReportBody)
	case names.Events:
		time.Sleep(time.Second)
		return plain(conn, http.StatusOK, "Content-Type: application/json\r\n", `{"epoch":1,"next":1,"lost":false,"events":[]}`)
	case names.Kept:
		return plain(conn, http.StatusOK, "Content-Type: application/json\r\n", `{"epoch":1,"next":1,"held":[]}`)
	}
	attempt := r.Header.Get(names.Attempt)
	if attempt == "" {
		return plain(conn, http.StatusBadRequest, names.NotRun+": 1\r\n", "")
	}
	head := names.Attempt + ": " + attempt + "\r\n"
	if expected := r.Header.Get(names.Expect); expected != "" && expected != id {
		return plain(conn, http.StatusMisdirectedRequest, head+names.NotRun+": 1\r\n", "")
	}
	isBad := strings.Contains(r.Header.Get(names.Prompt), badPart)
	p := w.pool
	p.mu.Lock()
	p.runs[attempt]++
	w.active++
	load := fmt.Sprintf("%s: %d,0,64\r\n", names.Load, w.active)
	if isBad {
		p.arrivals = append(p.arrivals, time.Now())
	}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		w.active--
		p.mu.Unlock()
	}()
	p.record.line("worker %s runs %s, bad part %v", id, attempt, isBad)
	time.Sleep(prefill)
	if isBad && p.crash == beforeFirst {
		w.fail(conn)
		return false
	}
	head = "HTTP/1.1 200 OK\r\n" + head + load + names.Seal + ": 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for n := 1; n <= events; n++ {
		event := fmt.Sprintf("id: %d\ndata: word\n\n", n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(pace)
		if isBad && p.crash == afterFirst {
			w.fail(conn)
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

func plain(conn net.Conn, status int, headers, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
	return err == nil
}

// fail crashes the worker that serves conn, unless it has crashed already.
func (w *worker) fail(conn net.Conn) {
	p := w.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !w.conns[conn] {
		return
	}
	p.crashes = append(p.crashes, time.Now())
	p.record.line("worker %s crashes, crash %d", w.id(), len(p.crashes))
	_ = w.listener.Close()
	w.listener = nil
	for c := range w.conns {
		_ = c.Close()
	}
	clear(w.conns)
	time.AfterFunc(downtime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if err := w.start(); err != nil {
			p.record.line("worker %d can't start again: %v", w.number, err)
		}
	})
}
