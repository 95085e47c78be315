package kcwdetector_test

import (
	"strconv"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwdetector"
)

// BenchmarkBegin measures the cost of one answer.
func BenchmarkBegin(b *testing.B) {
	d := newDetector(b)
	parts := []string{"class", "subject"}
	for i := 0; b.Loop(); i++ {
		d.Begin(parts, start.Add(time.Duration(i)))
	}
}

// BenchmarkDecide measures a decision on as many cuts as are kept.
func BenchmarkDecide(b *testing.B) {
	d := newDetector(b)
	for i := range config().MaxCuts {
		n := strconv.Itoa(i)
		d.Cut(kcwdetector.Cut{
			Request: n, Upstream: "u" + strconv.Itoa(i%40), Prompt: n, Parts: []string{"class", "crashing", "subject" + strconv.Itoa(i%50)},
			At: start.Add(time.Duration(i) * 10 * time.Millisecond),
		})
	}
	for b.Loop() {
		d.Decide(start.Add(time.Minute))
	}
}
