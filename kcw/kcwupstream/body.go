package kcwupstream

import (
	"context"
	"io"
	"sync"
	"time"
)

// body is an answer's body under a progress deadline.
type body struct {
	source   io.ReadCloser
	upstream *Upstream
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watch    *time.Timer
	once     sync.Once
}

// Read reads from the answer. An error other than io.EOF is an *Error.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if n > 0 {
		b.watch.Reset(b.upstream.cfg.ProgressTimeout)
	}
	if err != nil && err != io.EOF {
		err = b.upstream.failure(b.ctx, "read", err, true)
	}
	return n, err
}

// Close ends the call and its connection.
func (b *body) Close() error {
	b.once.Do(func() {
		b.watch.Stop()
		b.cancel(nil)
		_ = b.source.Close()
		b.upstream.inFlight.Add(-1)
	})
	return nil
}
