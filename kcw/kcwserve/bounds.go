package kcwserve

import (
	"strings"

	"go.opentelemetry.io/otel/attribute"

	"kingcupwick.example/kcw/kcwconnlimit"
	"kingcupwick.example/kcw/kcwlisten"
	"kingcupwick.example/kcw/kcwmemory"
)

// Bounds are the bounds of the servers of a process, by the name of the server in Pascal case.
type Bounds map[string]*kcwlisten.Bound

// NewBounds returns the bounds of servers with the given names. The error is an *kcwlisten.Error.
func NewBounds(servers map[string]kcwlisten.Config) (Bounds, error) {
	b := Bounds{}
	for name, cfg := range servers {
		cfg.Server = strings.ToLower(name)
		bound, err := kcwlisten.New(cfg)
		if err != nil {
			return nil, err
		}
		b[name] = bound
	}
	return b, nil
}

// Stats returns the state of the connections of each server.
func (b Bounds) Stats() map[string]kcwconnlimit.Stats {
	stats := make(map[string]kcwconnlimit.Stats, len(b))
	for name, bound := range b {
		stats[name] = bound.Stats()
	}
	return stats
}

// Observe returns the function that observes a value of the connections of each server, for a
// metric.
func (b Bounds) Observe(read func(kcwconnlimit.Stats) int64) func(observe func(int64, ...attribute.KeyValue)) {
	return func(observe func(int64, ...attribute.KeyValue)) {
		for name, stats := range b.Stats() {
			observe(read(stats), attribute.String("server", name))
		}
	}
}

// ObserveHeld returns the function that observes what an account holds, in bytes.
func ObserveHeld(account *kcwmemory.Account) func(observe func(int64, ...attribute.KeyValue)) {
	return func(observe func(int64, ...attribute.KeyValue)) { observe(account.Held()) }
}

// Values of the connections of a server, for Observe.
var (
	Open    = func(s kcwconnlimit.Stats) int64 { return int64(s.Open) }
	Held    = func(s kcwconnlimit.Stats) int64 { return s.HeldBytes }
	Refused = func(s kcwconnlimit.Stats) int64 { return s.Refused }
	Closed  = func(s kcwconnlimit.Stats) int64 { return s.Closed }
)
