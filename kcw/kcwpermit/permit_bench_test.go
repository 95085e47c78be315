package kcwpermit_test

import (
	"fmt"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpermit"
	"kingcupwick.example/kcw/kcwratelimit"
)

// BenchmarkRequest measures what a request costs at its router: its rank, and the search for a
// permit among 112 upstreams.
func BenchmarkRequest(b *testing.B) {
	s := newStock()
	var limits []kcwratelimit.Limit
	for i := range 112 {
		limits = append(limits, limit(fmt.Sprintf("u%d", i), 2))
	}
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.Rank(&kcwpermit.Claim{Service: "s", Size: 1, HasOther: true}, 0.5, now)
		s.Take(limits, now)
	}
}

// BenchmarkReport measures what a report costs at the leader with 300 routers and 112
// upstreams with a limit.
func BenchmarkReport(b *testing.B) {
	s := kcwpermit.NewIssuer()
	for i := range 112 {
		s.SetLimit(limit(fmt.Sprintf("u%d", i), 2), start)
	}
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprintf("r%d", i))
	}
	demand := []*kcwpb.PermitDemand{{Service: "s"}}
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		s.Hear(names[i%len(names)], now)
		s.Issue(demand, now)
	}
}
