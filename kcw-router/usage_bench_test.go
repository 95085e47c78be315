package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kingcupwick.example/kcw-router/kcwpresence"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
)

// clockTick is the unit of CPU time in /proc (proc(5), USER_HZ).
const clockTick = 10 * time.Millisecond

// usage is the CPU time that a process has used and its resident memory.
type usage struct {
	cpuTime       time.Duration
	residentBytes int64
}

// readUsage reads the usage of a process of the fleet from /proc.
func readUsage(tb testing.TB, f *fleet, name string) usage {
	tb.Helper()
	pid := f.programs[name].cmd.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		tb.Fatal(err)
	}
	// The state is the first field after the name, which may contain spaces.
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	var ticks int64
	for _, field := range []int{11, 12} {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			tb.Fatal(err)
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	if err != nil {
		tb.Fatal(err)
	}
	return usage{time.Duration(ticks) * clockTick, pages * int64(os.Getpagesize())}
}

// BenchmarkUsage measures the CPU time and memory of each process at several
// request rates. Each request is a stream of four tokens. One operation lasts one
// second.
func BenchmarkUsage(b *testing.B) {
	f := startFleet(b, 1, time.Millisecond)
	for _, rate := range []int{0, 4, 100} {
		b.Run(fmt.Sprintf("requests=%d", rate), func(b *testing.B) { benchmarkUsage(b, f, rate) })
	}
}

func benchmarkUsage(b *testing.B, f *fleet, rate int) {
	names := []string{"router-1", "ledger-1", "ledger-2", "ledger-3"}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(b.N)*time.Second)
	defer cancel()
	before := map[string]usage{}
	for _, name := range names {
		before[name] = readUsage(b, f, name)
	}
	var failed atomic.Int64
	for range rate {
		go func() {
			for ctx.Err() == nil {
				if _, err := firstToken(routerURL(1)); err != nil {
					failed.Add(1)
				}
				time.Sleep(time.Second)
			}
		}()
	}
	<-ctx.Done()
	for _, name := range names {
		after := readUsage(b, f, name)
		cpuSeconds := (after.cpuTime - before[name].cpuTime).Seconds() / float64(b.N)
		b.ReportMetric(100*cpuSeconds, name+"-%core")
		b.ReportMetric(float64(after.residentBytes)/(1<<20), name+"-MiB")
	}
	if failed.Load() > 0 {
		b.Errorf("%d requests failed", failed.Load())
	}
}

// BenchmarkWatchers measures the CPU time and memory of each ledger replica for
// routers that only watch and send heartbeats. One operation lasts one second.
func BenchmarkWatchers(b *testing.B) {
	f := startFleet(b, 1, time.Millisecond)
	for _, routers := range []int{0, 100, 300} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) { benchmarkWatchers(b, f, routers) })
	}
}

func benchmarkWatchers(b *testing.B, f *fleet, routers int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var addresses []netip.AddrPort
	for _, address := range strings.Split(f.replicas, ",") {
		addresses = append(addresses, netip.MustParseAddrPort(address))
	}
	for i := range routers {
		client, err := kcwledger.New(kcwledger.Config{Addresses: addresses, Key: "key-of-the-router-role"})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(client.Close)
		presence := kcwpresence.New(kcwpresence.Config{
			Ledger: client, Router: fmt.Sprint("watcher-", i), Zone: "z1", Incarnation: uint64(b.N),
			Address: addresses[0], Revision: func() uint64 { return 1 }, Fenced: func() {},
		})
		go presence.Run(ctx)
		go func() {
			_ = client.Watch(ctx, &kcwpb.WatchRequest{}, func() uint64 { return 1 }, func(*kcwpb.WatchEvent) {})
		}()
	}
	time.Sleep(2 * time.Second)
	names := []string{"ledger-1", "ledger-2", "ledger-3"}
	before := map[string]usage{}
	for _, name := range names {
		before[name] = readUsage(b, f, name)
	}
	b.ResetTimer()
	time.Sleep(time.Duration(b.N) * time.Second)
	b.StopTimer()
	for _, name := range names {
		after := readUsage(b, f, name)
		cpuSeconds := (after.cpuTime - before[name].cpuTime).Seconds() / float64(b.N)
		b.ReportMetric(100*cpuSeconds, name+"-%core")
		b.ReportMetric(float64(after.residentBytes)/(1<<20), name+"-MiB")
	}
}
