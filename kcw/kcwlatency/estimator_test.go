package kcwlatency_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwlatency"
)

func TestLongest(t *testing.T) {
	e := kcwlatency.New()
	if _, observed := e.UpperBound("r"); observed {
		t.Error("a route without requests has an estimate")
	}
	rng := rand.New(rand.NewPCG(1, 1))
	over := 0
	const requests = 2000
	for range requests {
		duration := time.Duration(100+rng.IntN(200)) * time.Millisecond
		if bound, observed := e.UpperBound("r"); observed && duration > bound {
			over++
		}
		e.Observe("r", duration)
	}
	if over > requests/50 {
		t.Errorf("%d of %d requests took longer than the upper bound", over, requests)
	}
	if bound, _ := e.UpperBound("r"); bound > time.Second {
		t.Errorf("the upper bound for requests of 100 to 300 ms is %v", bound)
	}
	if _, observed := e.UpperBound("other"); observed {
		t.Error("another route has an estimate")
	}
}
