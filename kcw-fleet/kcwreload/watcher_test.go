package kcwreload_test

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"kingcupwick.example/kcw-fleet/kcwreload"
)

// TestSignal checks that SIGHUP triggers a reload before the interval has passed.
func TestSignal(t *testing.T) {
	reloads := make(chan bool, 1)
	w := kcwreload.New(kcwreload.Config{Interval: time.Hour, Reload: func(signalled bool) { reloads <- signalled }})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(done)
	}()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if !<-reloads {
		t.Error("signalled is false after a signal")
	}
	stop()
	<-done
}

// TestInterval checks that the interval triggers a reload without a signal.
func TestInterval(t *testing.T) {
	reloads := make(chan bool, 1)
	w := kcwreload.New(kcwreload.Config{Interval: time.Millisecond, Reload: func(signalled bool) {
		select {
		case reloads <- signalled:
		default:
		}
	}})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go w.Run(ctx)
	if <-reloads {
		t.Error("signalled is true without a signal")
	}
}
