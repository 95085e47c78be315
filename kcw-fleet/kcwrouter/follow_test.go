package kcwrouter

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
	"kingcupwick.example/kcw/kcwroute"
)

// lateCore is a member of the core that leads. It has the document of a version, and answers
// reports only until it is late.
type lateCore struct {
	kcwpbconnect.UnimplementedFleetHandler
	address string
	ended   chan struct{}

	mu      sync.Mutex
	version uint64
	isLate  bool
	changed chan struct{}
}

func (c *lateCore) set(version uint64, isLate bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.isLate = version, isLate
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *lateCore) state() (version uint64, isLate bool, changed chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.isLate, c.changed
}

// versionDocument returns a document that consists of its version.
func versionDocument(version uint64) *kcwpb.PutDocument {
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	_, _ = z.Write([]byte(strconv.FormatUint(version, 10)))
	_ = z.Close()
	return &kcwpb.PutDocument{Version: version, Document: packed.Bytes()}
}

func decodeVersion(body []byte) (*kcwroute.Document, error) {
	version, err := strconv.ParseUint(string(body), 10, 64)
	return &kcwroute.Document{Version: version}, err
}

// Sync implements kcwpbconnect.FleetHandler.
func (c *lateCore) Sync(ctx context.Context, _ *connect.Request[kcwpb.FleetSyncRequest]) (*connect.Response[kcwpb.FleetSyncResponse], error) {
	version, isLate, _ := c.state()
	if isLate {
		select {
		case <-ctx.Done():
		case <-c.ended:
		}
		return nil, connect.NewError(connect.CodeUnavailable, context.DeadlineExceeded)
	}
	return connect.NewResponse(&kcwpb.FleetSyncResponse{Routers: 1, Document: versionDocument(version), Core: []string{c.address}, CoreZones: []string{"z"}}), nil
}

// Follow implements kcwpbconnect.FleetHandler.
func (c *lateCore) Follow(ctx context.Context, req *connect.Request[kcwpb.FleetFollowRequest]) (*connect.Response[kcwpb.FleetFollowResponse], error) {
	deadline := time.After(time.Duration(req.Msg.GetWaitNanos()))
	for {
		version, _, changed := c.state()
		if version > req.Msg.GetDocumentVersion() {
			return connect.NewResponse(&kcwpb.FleetFollowResponse{Document: versionDocument(version)}), nil
		}
		select {
		case <-changed:
		case <-deadline:
			return connect.NewResponse(&kcwpb.FleetFollowResponse{}), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		case <-c.ended:
			return nil, connect.NewError(connect.CodeUnavailable, context.Canceled)
		}
	}
}

func serveLateCore(t *testing.T) *lateCore {
	t.Helper()
	c := &lateCore{changed: make(chan struct{}), ended: make(chan struct{})}
	_, handler := kcwpbconnect.NewFleetHandler(c)
	server := httptest.NewServer(handler)
	c.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() {
		close(c.ended)
		server.Close()
	})
	return c
}

// awaitVersion waits until a router has a document of at least the given version.
func awaitVersion(t *testing.T, r *Router, version uint64) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); r.reporter.version() < version; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the router has version %d, want %d", r.reporter.version(), version)
		}
	}
}

// TestDocumentArrivesWhileReportsAreLate guards against a configuration that is acknowledged and
// not in force as long as the leader is behind with the reports.
func TestDocumentArrivesWhileReportsAreLate(t *testing.T) {
	c := serveLateCore(t)
	c.set(1, false)
	r := newTestRouter(t, decodeVersion, netip.MustParseAddrPort(c.address))
	r.start()
	awaitVersion(t, r, 1)
	for version := uint64(2); version < 6; version++ {
		c.set(version, true)
		awaitVersion(t, r, version)
	}
}

// TestLateCoreGetsFewerReports guards against a core that stays behind because routers go on to
// report to it at the usual rate, and at once when a request lacks tokens.
func TestLateCoreGetsFewerReports(t *testing.T) {
	c := serveLateCore(t)
	c.set(1, false)
	r := newTestRouter(t, decodeVersion, netip.MustParseAddrPort(c.address))
	p := r.reporter
	p.report(t.Context())
	p.routers.Store(300)
	p.settings.Core.Timeout = 10 * time.Millisecond
	c.set(1, true)
	interval := p.settings.Core.Interval
	for i, test := range []struct {
		want     time.Duration
		isPaused bool
	}{{interval, false}, {2 * interval, true}, {3 * interval, true}, {3 * interval, true}} {
		p.report(t.Context())
		if got := p.nextPause(); i > 0 && got != test.want {
			t.Errorf("after %d reports without an answer the pause is %v, want %v", i+1, got, test.want)
		}
		if !test.isPaused {
			continue
		}
		if p.requestReport(t.Context()) || len(p.wake) > 0 {
			t.Errorf("after %d reports without an answer a request that lacks tokens starts one at once", i+1)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if p.startReport(ctx); len(p.wake) != 1 {
		t.Error("a router that stops does not report its tokens while the core is behind")
	}
	p.settings.Core.Timeout = time.Minute
	c.set(2, false)
	p.report(t.Context())
	if got := p.nextPause(); got > interval || p.paused {
		t.Errorf("after an answer the pause is %v", got)
	}
}
