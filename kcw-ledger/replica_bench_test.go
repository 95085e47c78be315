package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"kingcupwick.example/kcw/kcwledger"
)

// BenchmarkPairs measures how many claims are opened and billed per second by a
// ledger of three replicas in one process, over loopback and with synced disk
// writes. The cases vary the number of routers and the requests in flight of
// each.
func BenchmarkPairs(b *testing.B) {
	for _, test := range []struct{ routers, workers int }{
		{1, 1},
		{1, 16},
		{10, 32},
		{40, 16},
	} {
		b.Run(fmt.Sprintf("routers=%d/requests=%d", test.routers, test.workers), func(b *testing.B) {
			benchmarkPairs(b, test.routers, test.workers)
		})
	}
}

func benchmarkPairs(b *testing.B, routers, workers int) {
	f := newFleet(b, 3)
	operator := f.client(b, testKeys.Operator)
	putContract(b, operator, "pew", 1_000_000_000)
	var clients []*kcwledger.Client
	for range routers {
		clients = append(clients, f.client(b, testKeys.Router))
	}
	register(b, f, clients[0], "r1", 1)
	var next atomic.Int64
	var group sync.WaitGroup
	b.ResetTimer()
	for i := range routers * workers {
		group.Go(func() {
			client := clients[i%routers]
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				request := fmt.Sprint("request-", n)
				submit(b, client, openCommand(request, uint64(n), 100))
				submit(b, client, settleCommand(request, uint64(n), 50))
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "pairs/s")
}
