package kcwblocklist_test

import (
	"strconv"
	"testing"

	"kingcupwick.example/kcw/kcwblocklist"
	"kingcupwick.example/kcw/kcwpb"
)

// BenchmarkMatch measures the cost of one request, without blocks and with the most.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{0, 64} {
		l := kcwblocklist.New()
		var blocks []*kcwpb.PartBlock
		for i := range n {
			blocks = append(blocks, block("crashing"+strconv.Itoa(i)))
		}
		l.SetCore(1, blocks)
		parts := []string{"class", "subject", "other"}
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				l.Match(parts)
			}
		})
	}
}
