package kcwdetector_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwdetector"
	"kingcupwick.example/kcw/kcwpb"
)

// BenchmarkMerge measures the decoding and merging of evidence with a number of cuts that are
// known already, as from each further router that reports them.
func BenchmarkMerge(b *testing.B) {
	for _, cuts := range []int{0, 16, 256} {
		b.Run(fmt.Sprintf("cuts=%d", cuts), func(b *testing.B) {
			cfg := config()
			cfg.MaxCuts = 1024
			source, err := kcwdetector.New(cfg)
			if err != nil {
				b.Fatal(err)
			}
			for i := range cuts {
				n := fmt.Sprintf("%016x", i)
				source.Begin([]string{"class", "subject" + n, "own" + n}, start)
				source.Cut(kcwdetector.Cut{Request: n, Upstream: "i-" + n, Prompt: n, Parts: []string{"class", "subject" + n}, At: start.Add(time.Duration(i) * time.Millisecond)})
			}
			data, err := proto.Marshal(source.ExportAll(start.Add(time.Second)))
			if err != nil {
				b.Fatal(err)
			}
			target, err := kcwdetector.New(cfg)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "bytes")
			for b.Loop() {
				evidence := &kcwpb.PartEvidence{}
				if err := proto.Unmarshal(data, evidence); err != nil {
					b.Fatal(err)
				}
				if _, err := target.Merge(evidence, start.Add(time.Second)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
