package kcwupstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// loadPath is the path at which an upstream reports its load.
	loadPath = "/load"
	// maxLoadBytes bounds the size of a load report.
	maxLoadBytes = 64 << 10
)

// load is an upstream's load report.
type load struct {
	// Running and Waiting are numbers of requests, Capacity is the number that can
	// run concurrently.
	Running, Waiting, Capacity int
	// Draining is set if the upstream is shutting down.
	Draining bool
}

// Load returns the numbers of running and waiting requests and the capacity from the
// upstream's last report. At is the time of that report, zero before the first one.
func (u *Upstream) Load() (running, waiting, capacity int, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load.Running, u.load.Waiting, u.load.Capacity, u.loadAt
}

// Poll fetches a load report from the upstream. If that fails, it returns an *Error of
// KindLoad and the last report stays valid.
func (u *Upstream) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, u.cfg.DialTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.cfg.Address.String()+loadPath, nil)
	if err != nil {
		return u.loadError(err)
	}
	if u.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+u.cfg.Key)
	}
	resp, err := u.polls.RoundTrip(req)
	if err != nil {
		u.polls.CloseIdleConnections()
		return u.loadError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return u.loadError(eris.Errorf("status %d", resp.StatusCode))
	}
	var report load
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&report); err != nil {
		return u.loadError(err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxLoadBytes))
	u.mu.Lock()
	u.load, u.loadAt = report, u.cfg.Now()
	u.mu.Unlock()
	u.draining.Store(report.Draining)
	return nil
}

func (u *Upstream) loadError(err error) error {
	return &Error{Op: "load", Kind: KindLoad, Upstream: u.cfg.Name, Err: eris.Wrap(err, "report")}
}
