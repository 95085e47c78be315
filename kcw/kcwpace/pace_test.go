package kcwpace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpace"
)

func TestLongest(t *testing.T) {
	p := kcwpace.New()
	if _, known := p.UpperBound("r"); known {
		t.Error("a route without requests is known")
	}
	random := rand.New(rand.NewPCG(1, 1))
	over := 0
	const requests = 2000
	for range requests {
		took := time.Duration(100+random.IntN(200)) * time.Millisecond
		if longest, known := p.UpperBound("r"); known && took > longest {
			over++
		}
		p.Observe("r", took)
	}
	if over > requests/50 {
		t.Errorf("%d of %d requests took longer than the estimate", over, requests)
	}
	if longest, _ := p.UpperBound("r"); longest > time.Second {
		t.Errorf("the estimate for requests of 100 to 300 ms is %v", longest)
	}
	if _, known := p.UpperBound("other"); known {
		t.Error("another route is known")
	}
}
