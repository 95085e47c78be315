package kcwguard_test

import (
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwdetector"
	"kingcupwick.example/kcw/kcwpb"
)

// BenchmarkReportBytes measures the size of the evidence in a report on ten requests, with
// two shared parts each, that were answered or cut.
func BenchmarkReportBytes(b *testing.B) {
	const requests = 10
	for _, kind := range []string{"answered", "cut"} {
		b.Run(kind, func(b *testing.B) {
			size := 0
			for b.Loop() {
				r := newRouter(b, "r")
				for i := range requests {
					n := strconv.Itoa(i)
					parts := []string{"90c5a82f9411", "c1bf9d37960" + n}
					if kind == "answered" {
						r.Begin(parts)
						continue
					}
					r.Cut(kcwdetector.Cut{Request: "9bcdb7352647d77" + n, Upstream: "i-884db85018", Prompt: "4f67b3ac5b6" + n, Parts: parts, At: r.now})
				}
				r.now = r.now.Add(250 * time.Millisecond)
				size = proto.Size(r.report())
			}
			b.ReportMetric(float64(size)/requests, "B/request")
		})
	}
	b.Run("block", func(b *testing.B) {
		size := 0
		block := &kcwpb.PartBlock{
			Parts: []string{"393210487cac"}, DecidedAt: time.Now().UnixNano(), DecidedBy: "front-neweng-c-1", Moments: 3, Prompts: 3,
			Upstreams: []string{"i-81f4b4b72e", "i-e1a2a7be28", "i-fd7067e2fe"}, Requests: []string{"600c8bcd7b03619c", "83bb96e949b365fa", "5243b903fbcd4812"},
		}
		for b.Loop() {
			size = proto.Size(&kcwpb.FleetSyncResponse{Blocks: []*kcwpb.PartBlock{block}})
		}
		b.ReportMetric(float64(size), "B/block")
	})
}
