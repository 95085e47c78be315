package kcwservice

import (
	"slices"
	"sync"
	"time"
)

const (
	// recallDuration is how long after a shortage grants are recalled.
	recallDuration = 5 * time.Second
	// maxRecalls bounds the customers in the answer to one heartbeat.
	maxRecalls = 64
)

// recalls holds the customers whose budgets were recently short of free tokens,
// and until when their grants are recalled.
type recalls struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newRecalls() *recalls {
	return &recalls{until: make(map[string]time.Time)}
}

// add records a shortage of customer at now.
func (r *recalls) add(customer string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until[customer] = now.Add(recallDuration)
}

// list returns customers whose grants are recalled at now, at most maxRecalls in
// order of name.
func (r *recalls) list(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var customers []string
	for customer, until := range r.until {
		if now.After(until) {
			delete(r.until, customer)
			continue
		}
		customers = append(customers, customer)
	}
	slices.Sort(customers)
	return customers[:min(len(customers), maxRecalls)]
}
