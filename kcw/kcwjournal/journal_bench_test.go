package kcwjournal

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"kingcupwick.example/kcw/kcwpb"
)

// BenchmarkAppend measures the durable append of a claim by the number of
// concurrent writers. A request on a grant waits for this before its dispatch.
func BenchmarkAppend(b *testing.B) {
	for _, writers := range []int{1, 16} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) {
			j, err := Open(Config{Folder: b.TempDir()})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = j.Close() }()
			var next atomic.Int64
			var group sync.WaitGroup
			b.ResetTimer()
			for range writers {
				group.Go(func() {
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						claim := &kcwpb.OpenClaim{
							Customer: "granite-pew", Request: fmt.Sprint("request-", n), Tokens: 1200,
							Router: "neweng-a-3", Incarnation: 1, Repeatable: true,
						}
						record := &kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Opened{Opened: claim}}
						if err := j.Append(record); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			group.Wait()
		})
	}
}
