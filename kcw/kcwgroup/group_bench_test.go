package kcwgroup

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kingcupwick.example/kcw/kcwpeer"
)

// commandBytes is the size of the commands of the benchmarks.
const commandBytes = 120

func benchCommand(i int64) []byte {
	return fmt.Appendf(nil, "%0*d", commandBytes, i)
}

// benchConfig sets the heartbeat interval and the election timeout of a deployment.
func benchConfig(cfg *Config) {
	cfg.Heartbeat = defaultHeartbeat
	cfg.Election = defaultElection
}

// BenchmarkCommit measures commits of commands of commandBytes through the leader. The
// replicas run in one process, communicate over loopback connections and sync their
// logs.
func BenchmarkCommit(b *testing.B) {
	for _, test := range []struct {
		replicas, writers int
	}{
		{3, 1},
		{3, 16},
		{3, 256},
		{5, 1},
		{5, 16},
		{5, 256},
	} {
		b.Run(fmt.Sprintf("replicas=%d/writers=%d", test.replicas, test.writers), func(b *testing.B) {
			c := newCluster(b, test.replicas, benchConfig)
			senders := overConnect(c)
			c.startAll()
			leader := c.leader()
			sent := totalSent(senders)
			b.ResetTimer()
			latencies := commitAll(b, leader.group, test.writers)
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(totalSent(senders)-sent)/float64(b.N), "wire-B/op")
			for _, quantile := range []float64{50, 95, 99} {
				b.ReportMetric(float64(latencies.ValueAtQuantile(quantile))/1e3, fmt.Sprintf("p%.0f-ms", quantile))
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func totalSent(senders map[string]*kcwpeer.Sender) int64 {
	total := int64(0)
	for _, s := range senders {
		total += s.Sent()
	}
	return total
}

// commitAll commits b.N commands from concurrent writers and returns the latencies in
// microseconds.
func commitAll(b *testing.B, g *Group, writers int) *hdrhistogram.Histogram {
	var started atomic.Int64
	var mu sync.Mutex
	var wait sync.WaitGroup
	all := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for range writers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			own := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for i := started.Add(1); i <= int64(b.N); i = started.Add(1) {
				start := time.Now()
				if _, err := g.Propose(b.Context(), benchCommand(i)); err != nil {
					b.Error(err)
					return
				}
				_ = own.RecordValue(time.Since(start).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(own)
		}()
	}
	wait.Wait()
	return all
}

// BenchmarkRestart measures the restart of a group of one replica that has committed a
// number of changes, until the replica confirms that it leads.
func BenchmarkRestart(b *testing.B) {
	for _, test := range []struct {
		changes   int
		snapshots uint64
	}{
		{1_000, defaultSnapshotEntries},
		{100_000, defaultSnapshotEntries},
		{100_000, 1 << 40},
	} {
		name := fmt.Sprintf("changes=%d/snapshots=%v", test.changes, test.snapshots == defaultSnapshotEntries)
		b.Run(name, func(b *testing.B) {
			c := newCluster(b, 1, func(cfg *Config) {
				cfg.SnapshotEntries = test.snapshots
			})
			c.startAll()
			fillGroup(b, c.leader().group, test.changes)
			var opened time.Duration
			for b.Loop() {
				b.StopTimer()
				c.stop("h1", true)
				b.StartTimer()
				start := time.Now()
				h := c.start("h1", false)
				opened += time.Since(start)
				c.leader()
				if got := len(h.machine.list()); got != test.changes {
					b.Fatalf("%d changes after the restart, want %d", got, test.changes)
				}
			}
			b.ReportMetric(float64(opened.Milliseconds())/float64(b.N), "open-ms")
		})
	}
}

func fillGroup(b *testing.B, g *Group, n int) {
	var wait sync.WaitGroup
	queue := make(chan int64)
	for range 256 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range queue {
				if _, err := g.Propose(b.Context(), benchCommand(i)); err != nil {
					b.Error(err)
				}
			}
		}()
	}
	for i := range int64(n) {
		queue <- i
	}
	close(queue)
	wait.Wait()
}

// BenchmarkRepair loses the disk of one of two followers while 64 writers continue, and
// measures the time until the host votes under its new identity.
func BenchmarkRepair(b *testing.B) {
	const changes, writers = 200_000, 64
	c := newCluster(b, 3, benchConfig)
	overConnect(c)
	c.startAll()
	fillGroup(b, c.leader().group, changes)
	var repaired time.Duration
	for b.Loop() {
		leader := c.leader()
		lost := "h1"
		if leader.name == lost {
			lost = "h2"
		}
		old := c.hosts[lost].group.Status().Id
		ctx, cancel := context.WithCancel(b.Context())
		var wait sync.WaitGroup
		for id := range writers {
			wait.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					_, _ = leader.group.Propose(ctx, benchCommand(int64(id)))
				}
			})
		}
		c.loseDisk(lost)
		start := time.Now()
		c.repair(c.start(lost, false), old)
		repaired += time.Since(start)
		cancel()
		wait.Wait()
	}
	b.ReportMetric(float64(repaired.Milliseconds())/float64(b.N), "repair-ms")
	b.ReportMetric(float64(c.leader().group.Status().Commit), "commits")
}
