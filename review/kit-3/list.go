package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// listLag is how late a change is shown in the list, lag_ms of the pages.
const listLag = 800 * time.Millisecond

// list is a stand-in for the provider's list of workers.
type list struct {
	mu      sync.Mutex
	changes []listChange
	server  *http.Server
	address string
	calls   int
}

// listChange sets the entries of one writer from a time on.
type listChange struct {
	at      time.Time
	key     string
	entries []any
}

// instance is a proper entry.
type instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

func startList(address string) (*list, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &list{address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", l.serve)
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// set states the entries under a key. They are listed in the order of the keys' first use.
func (l *list) set(key string, entries ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, listChange{at: time.Now(), key: key, entries: entries})
}

// replace states all entries, from before the list was first read.
func (l *list) replace(entries ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = []listChange{{at: time.Now(), key: "all", entries: entries}}
}

func (l *list) serve(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	l.calls++
	shown := map[string][]any{}
	var keys []string
	for _, c := range l.changes {
		if time.Since(c.at) < listLag {
			continue
		}
		if _, known := shown[c.key]; !known {
			keys = append(keys, c.key)
		}
		shown[c.key] = c.entries
	}
	l.mu.Unlock()
	entries := []any{}
	for _, key := range keys {
		entries = append(entries, shown[key]...)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
}
