package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// instance is one entry of the platform's list.
type instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Cold    int    `json:"cold_left_ms"`
}

// listServer is a stand-in of the platform's list of workers.
type listServer struct {
	listener net.Listener

	mu        sync.Mutex
	instances []instance
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

// ServeHTTP answers with the list, which fits on one page.
func (l *listServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": l.instances, "next": nil})
}
