package kcwdetector_test

import (
	"fmt"
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

// BenchmarkDecide measures a decision on as many cuts as are kept, of prompts with few parts and
// with many.
func BenchmarkDecide(b *testing.B) {
	for _, others := range []int{0, 125} {
		b.Run(fmt.Sprintf("others=%d", others), func(b *testing.B) {
			cfg := config()
			cfg.MaxCuts, cfg.MaxCutParts = 1024, 16384
			d, err := kcwdetector.New(cfg)
			if err != nil {
				b.Fatal(err)
			}
			for i := range cfg.MaxCuts {
				n := strconv.Itoa(i)
				d.Cut(kcwdetector.Cut{
					Request: n, Upstream: "u" + strconv.Itoa(i%40), Prompt: n,
					Parts: append(numbered("part"+strconv.Itoa(i%50)+"-", others), "class", "crashing", "subject"+strconv.Itoa(i%50)),
					At:    start.Add(time.Duration(i) * 10 * time.Millisecond),
				})
			}
			for b.Loop() {
				d.Decide(start.Add(time.Minute))
			}
		})
	}
}
