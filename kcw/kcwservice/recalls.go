package kcwservice

import (
	"slices"
	"sync"
	"time"
)

const (
	// recallFor is how long after a shortage grants are called back.
	recallFor = 5 * time.Second
	// maxRecalls bounds the customers named in one heartbeat's answer.
	maxRecalls = 64
)

// recalls is the customers whose budgets ran short lately.
type recalls struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newRecalls() *recalls {
	return &recalls{until: make(map[string]time.Time)}
}

// add takes down a shortage of customer at now.
func (r *recalls) add(customer string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until[customer] = now.Add(recallFor)
}

// list returns the customers whose grants are called back at now.
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
