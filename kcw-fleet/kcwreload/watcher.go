// Package kcwreload triggers reloads of a daemon's settings: at each SIGHUP, which would
// otherwise end the process, and at a fixed interval, because the file may change
// without a signal.
package kcwreload

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Config configures a Watcher.
type Config struct {
	// Interval is the time between two reloads without a signal.
	Interval time.Duration
	// Reload reloads the settings. signalled is set if a signal triggered the reload.
	Reload func(signalled bool)
}

// Watcher calls Config.Reload at signals and intervals.
type Watcher struct {
	cfg     Config
	signals chan os.Signal
}

// New returns a Watcher that catches SIGHUP from now on. The caller runs it.
func New(cfg Config) *Watcher {
	w := &Watcher{cfg: cfg, signals: make(chan os.Signal, 1)}
	signal.Notify(w.signals, syscall.SIGHUP)
	return w
}

// Run calls Reload until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer signal.Stop(w.signals)
	ticker := time.NewTicker(w.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-w.signals:
			w.cfg.Reload(true)
		case <-ticker.C:
			w.cfg.Reload(false)
		case <-ctx.Done():
			return
		}
	}
}
