package kcwupstream

import (
	"context"
	"io"
	"sync"
)

// progressBody is an answer's body whose reads must make progress within
// Config.ProgressTimeout.
type progressBody struct {
	source   io.ReadCloser
	upstream *Upstream
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *watchdog
	once     sync.Once
}

// Read reads from the answer. An error other than io.EOF is an *Error.
func (b *progressBody) Read(p []byte) (int, error) {
	// The watchdog runs only during a read, since between reads the answer waits for
	// its caller and not for the upstream.
	b.watchdog.start(b.upstream.cfg.ProgressTimeout)
	n, err := b.source.Read(p)
	b.watchdog.stop()
	if err != nil && err != io.EOF {
		err = b.upstream.callError(b.ctx, "read", err, true)
	}
	return n, err
}

// Close ends the call and its connection.
func (b *progressBody) Close() error {
	b.once.Do(func() {
		b.watchdog.stop()
		b.cancel(nil)
		_ = b.source.Close()
		b.upstream.inFlight.Add(-1)
	})
	return nil
}
