package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
)

// instance is one entry of the platform's list.
type instance struct {
	id, service, address, zone, state string
}

// String returns the entry as the platform writes it.
func (i instance) String() string {
	return fmt.Sprintf(form("upstream.json"), i.id, i.service, i.address, i.zone, i.state)
}

// listServer is a stand-in of the platform's list of workers.
type listServer struct {
	listener net.Listener

	mu        sync.Mutex
	instances []instance
	// odd is the text of an entry of another writer, empty if there is none.
	odd string
}

func newListServer(ip string) (*listServer, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &listServer{listener: listener}
	go func() { _ = http.Serve(listener, l) }()
	return l, nil
}

func (l *listServer) address() string { return l.listener.Addr().String() }

func (l *listServer) close() { _ = l.listener.Close() }

// set replaces the list.
func (l *listServer) set(instances ...instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = instances
}

// setOdd adds the entry of another writer.
func (l *listServer) setOdd(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.odd = text
}

// ServeHTTP answers with the list, which fits on one page.
func (l *listServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	entries := make([]string, 0, len(l.instances)+1)
	for _, i := range l.instances {
		entries = append(entries, i.String())
	}
	if l.odd != "" {
		entries = append([]string{l.odd}, entries...)
	}
	_, _ = fmt.Fprintf(w, `{"instances":[%s],"next":null}`, strings.Join(entries, ","))
}
