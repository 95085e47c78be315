package kcwentry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwhorizon"
	"kingcupwick.example/kcw/kcwpb"
)

const (
	// horizonInterval is the pause between two looks at whether the record on the disk
	// is due: a fraction of horizonAhead.
	horizonInterval = 100 * time.Millisecond
	// horizonAfter is how long the core must be silent for tokens to become active, on a
	// host with a disk: two reports, so that nothing is written while the core answers.
	horizonAfter = 500 * time.Millisecond
	// horizonAhead is how far ahead the record is written: a slow disk takes about half
	// of it.
	horizonAhead = 2 * time.Second
	// horizonWait bounds the wait of the first report for the record of earlier
	// processes; the disk may not answer.
	horizonWait = 300 * time.Millisecond
)

// horizonKeeper keeps a router's record on its host's disk.
type horizonKeeper struct {
	horizon *kcwhorizon.Horizon
	balance *kcwbalance.Balance
	uptime  func() time.Duration
	// incarnation returns the one under which the router reports.
	incarnation func() uint64
	// opened is closed once the record of earlier processes was read, or can't be.
	opened chan struct{}
	// failed says that the last write failed.
	failed bool
}

// until returns the uptime after which no more tokens become active.
func (k *horizonKeeper) until() time.Duration { return k.horizon.CurrentRun().Until }

// await waits for the record of earlier processes, but not for long.
func (k *horizonKeeper) await(ctx context.Context) {
	wait := time.NewTimer(horizonWait)
	defer wait.Stop()
	select {
	case <-k.opened:
	case <-wait.C:
		klog.InfoS("Record of tokens not read in time", "Waited", horizonWait.String())
	case <-ctx.Done():
	}
}

// formers returns the earlier processes that the record tells of.
func (k *horizonKeeper) formers() []*kcwpb.RouterRun {
	var formers []*kcwpb.RouterRun
	for _, run := range k.horizon.PreviousRuns() {
		formers = append(formers, &kcwpb.RouterRun{Incarnation: run.Incarnation, Until: int64(run.Until)})
	}
	return formers
}

// run keeps the record until ctx ends.
func (k *horizonKeeper) run(ctx context.Context) {
	if err := k.horizon.Open(); err != nil {
		klog.ErrorS(err, "Record of tokens not read")
	} else {
		klog.InfoS("Record of tokens read", "Formers", len(k.horizon.PreviousRuns()))
	}
	close(k.opened)
	ticker := time.NewTicker(horizonInterval)
	defer ticker.Stop()
	for {
		k.extend()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if err := k.horizon.Close(); err != nil {
				klog.ErrorS(err, "Record of tokens not closed")
			}
			return
		}
	}
}

// extend writes the record if it is due.
func (k *horizonKeeper) extend() {
	own, incarnation, now := k.horizon.CurrentRun(), k.incarnation(), k.uptime()
	var until time.Duration
	if silence := k.balance.Silence(); silence > horizonAfter && now+horizonAhead/2 > own.Until {
		until = now + horizonAhead
	} else if own.Incarnation == incarnation {
		return
	}
	err := k.horizon.Extend(incarnation, until)
	switch {
	case err != nil && !k.failed:
		klog.ErrorS(err, "Record of tokens not written", "Until", own.Until.String())
	case err == nil && k.failed:
		klog.InfoS("Record of tokens written again", "Until", until.String())
	}
	k.failed = err != nil
}
