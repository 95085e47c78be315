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
	// loadPath is where an upstream reports its load.
	loadPath = "/load"
	// maxLoadBytes bounds a load report.
	maxLoadBytes = 64 << 10
)

// load is an upstream's report of itself.
type load struct {
	// Running and Waiting count requests, Capacity how many may run at once.
	Running, Waiting, Capacity int
	// Draining says that the upstream is leaving.
	Draining bool
}

// Load returns the requests running and waiting and the capacity that the
// upstream last reported, and when, which is the zero time before the first
// report.
func (u *Upstream) Load() (running, waiting, capacity int, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load.Running, u.load.Waiting, u.load.Capacity, u.loadAt
}

// Poll asks the upstream for its load. It returns an *Error of KindLoad if
// there is no report; the last one then stays.
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
