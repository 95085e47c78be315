package kcwcontrol

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

const (
	// leaderKnownFor is how old a member's report on the leader may be to send callers
	// there unasked: an operator waits a second for its answer.
	leaderKnownFor = 500 * time.Millisecond
	// locateTries bounds the hosts asked for the leader: one that is gone, one that
	// does not lead, and the leader, once more each.
	locateTries = 6
)

// redirector answers in place of a member at a host without a disk: it sends
// operators, routers and other members to the leader.
type redirector struct {
	kcwpbconnect.UnimplementedFleetHandler
	settings *kcwsetup.Control
	client   *kcwcore.Client

	// mu is held while the leader is looked for, so that callers share the
	// answer.
	mu sync.Mutex
}

// locate returns where the leader answers routers and members. It is not valid
// if no host tells.
func (r *redirector) locate(ctx context.Context) netip.AddrPort {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Group.PutTimeout)
	defer cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	for try := 0; ; try++ {
		if view := r.client.View(); view.Leader.IsValid() && view.LeaderAge < leaderKnownFor {
			return view.Leader
		}
		if try == locateTries || ctx.Err() != nil {
			return netip.AddrPort{}
		}
		if err := r.ask(ctx); err != nil {
			klog.V(kcwlog.DebugVerbosity).InfoS("Leader not located yet", "Try", try, "Cause", err.Error())
		}
	}
}

// ask asks one host for the leader.
func (r *redirector) ask(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Group.Election)
	defer cancel()
	return r.client.AnnounceNext(ctx, r.settings.Host.PeerAddress)
}

// ServeHTTP sends an operator to the leader. The body is read first, since a
// connection that is closed with bytes unread may lose the answer.
func (r *redirector) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, req.Body, r.settings.Group.MaxDocumentBytes)); err != nil {
		http.Error(w, "the document can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	redirect(w, r.locate(req.Context()), r.settings.Host.Address.Port())
}

// refusal returns the answer to a call that only the leader takes.
func (r *redirector) refusal(ctx context.Context) error {
	leader := r.locate(ctx)
	return refuse(errNotLeader, leader, r.client.View())
}

// Sync sends a router to the leader.
func (r *redirector) Sync(ctx context.Context, _ *connect.Request[kcwpb.FleetSyncRequest]) (*connect.Response[kcwpb.FleetSyncResponse], error) {
	return nil, r.refusal(ctx)
}

// Admit sends a newcomer to the leader.
func (r *redirector) Admit(ctx context.Context, _ *connect.Request[kcwpb.FleetAdmitRequest]) (*connect.Response[kcwpb.FleetAdmitResponse], error) {
	return nil, r.refusal(ctx)
}

// Announce takes what another host knows of the core and tells what is known here.
// It does not look for the leader: two redirectors would wait for each other.
func (r *redirector) Announce(_ context.Context, req *connect.Request[kcwpb.FleetAnnounceRequest]) (*connect.Response[kcwpb.FleetAnnounceResponse], error) {
	return announced(r.client, req.Msg)
}

// ready returns nil if a leader was located.
func (r *redirector) ready() error {
	if !r.locate(context.Background()).IsValid() {
		return errNoLeader
	}
	return nil
}

// handler returns the handler for routers and members.
func (r *redirector) handler() http.Handler {
	_, handler := kcwpbconnect.NewFleetHandler(r, connect.WithReadMaxBytes(maxMessageBytes))
	return handler
}
