package kcwupstream

import (
	"context"
	"io"
	"sync"
)

// body is an answer's body under a progress deadline.
type body struct {
	source   io.ReadCloser
	upstream *Upstream
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watch    *watch
	once     sync.Once
}

// Read reads from the answer. An error other than io.EOF is an *Error.
func (b *body) Read(p []byte) (int, error) {
	// Only a read that waits shows that the upstream is silent: between reads
	// the answer waits for its caller.
	b.watch.start(b.upstream.cfg.ProgressTimeout)
	n, err := b.source.Read(p)
	b.watch.stop()
	if err != nil && err != io.EOF {
		err = b.upstream.failure(b.ctx, "read", err, true)
	}
	return n, err
}

// Close ends the call and its connection.
func (b *body) Close() error {
	b.once.Do(func() {
		b.watch.stop()
		b.cancel(nil)
		_ = b.source.Close()
		b.upstream.inFlight.Add(-1)
	})
	return nil
}
