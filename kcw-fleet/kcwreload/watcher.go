// Package kcwreload tells a daemon when its settings may have changed: at each
// SIGHUP, which would end the process otherwise, and from time to time, because
// the file may change without a signal.
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
	// Interval is the pause between two looks without a signal.
	Interval time.Duration
	// Reload is called for each look; signalled says whether a signal asked for
	// it.
	Reload func(signalled bool)
}

// Watcher calls Reload.
type Watcher struct {
	cfg     Config
	signals chan os.Signal
}

// New returns a Watcher that takes SIGHUP from now on. The caller runs it.
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
