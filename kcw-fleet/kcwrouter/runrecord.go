package kcwrouter

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwrunrecord"
)

const (
	// recordInterval is the time between two checks of whether the record on disk must
	// be extended. It is a small fraction of recordExtension.
	recordInterval = 100 * time.Millisecond
	// recordMinSilence is how long the core must be silent before tokens become active
	// on a host with a disk. It spans two reports, so that nothing is written while the
	// core answers.
	recordMinSilence = 500 * time.Millisecond
	// recordExtension is how far into the future each write extends the record. A
	// write to a slow disk takes about half of it.
	recordExtension = 2 * time.Second
	// recordOpenTimeout bounds how long the first report waits for the record of
	// earlier processes, because the disk may hang.
	recordOpenTimeout = 300 * time.Millisecond
)

// recordKeeper maintains the record, on the host's disk, of the uptime up to which
// tokens held by the router may become active.
type recordKeeper struct {
	record  *kcwrunrecord.Record
	balance *kcwbalance.Balance
	uptime  func() time.Duration
	// incarnation returns the incarnation under which the router reports.
	incarnation func() uint64
	// opened is closed once the record of earlier processes has been read or could not
	// be read.
	opened chan struct{}
	// failed is set if the last write failed.
	failed bool
}

// activeUntil returns the uptime after which no more tokens become active.
func (k *recordKeeper) activeUntil() time.Duration { return k.record.CurrentRun().Until }

// awaitOpen waits for the record of earlier processes, at most recordOpenTimeout.
func (k *recordKeeper) awaitOpen(ctx context.Context) {
	wait := time.NewTimer(recordOpenTimeout)
	defer wait.Stop()
	select {
	case <-k.opened:
	case <-wait.C:
		klog.InfoS("Record of tokens not read in time", "Waited", recordOpenTimeout.String())
	case <-ctx.Done():
	}
}

// previousRuns returns the earlier processes in the record.
func (k *recordKeeper) previousRuns() []*kcwpb.RouterRun {
	var runs []*kcwpb.RouterRun
	for _, run := range k.record.PreviousRuns() {
		runs = append(runs, &kcwpb.RouterRun{Incarnation: run.Incarnation, Until: int64(run.Until)})
	}
	return runs
}

// run reads the record of earlier processes, and then extends this process's until
// ctx ends.
func (k *recordKeeper) run(ctx context.Context) {
	if err := k.record.Open(); err != nil {
		klog.ErrorS(err, "Record of tokens not read")
	} else {
		klog.InfoS("Record of tokens read", "Formers", len(k.record.PreviousRuns()))
	}
	close(k.opened)
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		k.extend()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if err := k.record.Close(); err != nil {
				klog.ErrorS(err, "Record of tokens not closed")
			}
			return
		}
	}
}

// extend writes the record if the core is silent and the recorded uptime is nearly
// reached, or if the incarnation has changed.
func (k *recordKeeper) extend() {
	own, incarnation, now := k.record.CurrentRun(), k.incarnation(), k.uptime()
	var until time.Duration
	if silence := k.balance.Silence(); silence > recordMinSilence && now+recordExtension/2 > own.Until {
		until = now + recordExtension
	} else if own.Incarnation == incarnation {
		return
	}
	err := k.record.Extend(incarnation, until)
	switch {
	case err != nil && !k.failed:
		klog.ErrorS(err, "Record of tokens not written", "Until", own.Until.String())
	case err == nil && k.failed:
		klog.InfoS("Record of tokens written again", "Until", until.String())
	}
	k.failed = err != nil
}
