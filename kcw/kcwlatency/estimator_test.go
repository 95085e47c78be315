package kcwlatency_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwlatency"
)

func TestLongest(t *testing.T) {
	e := kcwlatency.New()
	if _, known := e.UpperBound("r"); known {
		t.Error("a route without requests has an estimate")
	}
	rng := rand.New(rand.NewPCG(1, 1))
	over := 0
	const requests = 2000
	for range requests {
		took := time.Duration(100+rng.IntN(200)) * time.Millisecond
		if bound, known := e.UpperBound("r"); known && took > bound {
			over++
		}
		e.Observe("r", took)
	}
	if over > requests/50 {
		t.Errorf("%d of %d requests took longer than the upper bound", over, requests)
	}
	if bound, _ := e.UpperBound("r"); bound > time.Second {
		t.Errorf("the upper bound for requests of 100 to 300 ms is %v", bound)
	}
	if _, known := e.UpperBound("other"); known {
		t.Error("another route has an estimate")
	}
}
