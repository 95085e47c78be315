package kcwcontrol

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw-fleet/kcwdirectory"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw/kcwgroup"
	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
	"kingcupwick.example/kcw/kcwpeer"
)

const (
	// leaderMaxAge bounds the age of a leader that callers are redirected to without
	// another probe. An operator waits one second for its answer.
	leaderMaxAge = 500 * time.Millisecond
	// maxLocateTries bounds the hosts probed for the leader. It covers two rounds of an
	// unreachable host, one that does not lead, and the leader.
	maxLocateTries = 6
)

// redirector takes the place of a member on a host without a disk. It redirects
// operators to the leader, and refers routers and other members to it.
type redirector struct {
	kcwpbconnect.UnimplementedFleetHandler
	settings *kcwsetup.Control
	client   *kcwcore.Client

	// mu is held while the leader is located, so that concurrent callers share the
	// result.
	mu sync.Mutex

	// delegator chooses the host that founds the group in place of this one. It is nil unless this
	// host is a founder and the group does not exist yet. DelegatorMu guards it.
	delegatorMu sync.Mutex
	delegator   *kcwgroup.Delegator
	sender      *kcwpeer.Sender
}

// newDisklessHost returns the redirector of a host that starts at now.
func newDisklessHost(s *kcwsetup.Control, client *kcwcore.Client, sender *kcwpeer.Sender, now time.Time) *redirector {
	r := &redirector{settings: s, client: client, sender: sender}
	if s.Group.Bootstrap && slices.Contains(s.PeerAddresses(), s.Host.PeerAddress) {
		own := s.Host.PeerAddress
		r.delegator = kcwgroup.NewDelegator(kcwgroup.DelegatorConfig{
			Group: groupName, Name: own.String(), Zone: s.Host.Zone, Address: own, Founders: founders(s), ChooseAt: now.Add(substituteWait),
		})
	}
	return r
}

// Exchange handles the messages of a founding. There is no replica to which others could be
// addressed.
func (r *redirector) Exchange(_ context.Context, req *connect.Request[kcwpb.ExchangeRequest]) (*connect.Response[kcwpb.ExchangeResponse], error) {
	if req.Msg.GetGroup() != groupName {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("message of another group"))
	}
	r.delegatorMu.Lock()
	defer r.delegatorMu.Unlock()
	if r.delegator != nil && knowsMembers(r.client.View()) {
		r.delegator.EndChoice()
	}
	for _, m := range req.Msg.GetMessages() {
		if r.delegator == nil {
			break
		}
		if to, reply := r.delegator.Step(m, time.Now()); reply != nil {
			r.sender.Send(to, []*kcwpb.Message{reply})
		}
	}
	return connect.NewResponse(&kcwpb.ExchangeResponse{}), nil
}

// locate returns the leader's address for routers and members. The address is not valid
// if no host names a leader.
func (r *redirector) locate(ctx context.Context) netip.AddrPort {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Group.PutTimeout)
	defer cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	var tried []netip.AddrPort
	for {
		if view := r.client.View(); view.Leader.IsValid() && view.LeaderAge < leaderMaxAge {
			return view.Leader
		}
		if len(tried) == maxLocateTries || ctx.Err() != nil {
			return netip.AddrPort{}
		}
		host, err := r.probe(ctx, tried)
		if err != nil {
			klog.V(kcwlog.DebugVerbosity).InfoS("Leader not located yet", "Tries", len(tried), "Cause", err.Error())
		}
		tried = append(tried, host)
	}
}

// probe exchanges views with the next host after those in tried, and returns it.
func (r *redirector) probe(ctx context.Context, tried []netip.AddrPort) (netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Group.Election)
	defer cancel()
	return r.client.AnnounceNext(ctx, r.settings.Host.PeerAddress, tried)
}

// ServeHTTP redirects an operator to the leader. It reads the body first, since closing
// a connection with unread bytes may lose the answer.
func (r *redirector) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, req.Body, r.settings.Group.MaxDocumentBytes)); err != nil {
		http.Error(w, "the document can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	redirect(w, req, r.locate(req.Context()), r.settings.Host.Address.Port())
}

// refusal returns the answer to a call that only the leader handles.
func (r *redirector) refusal(ctx context.Context) error {
	leader := r.locate(ctx)
	return newRefusal(errNotLeader, leader, r.client.View())
}

// Sync refers a router to the leader.
func (r *redirector) Sync(ctx context.Context, _ *connect.Request[kcwpb.FleetSyncRequest]) (*connect.Response[kcwpb.FleetSyncResponse], error) {
	return nil, r.refusal(ctx)
}

// Admit refers a replica that asks to be admitted to the leader.
func (r *redirector) Admit(ctx context.Context, _ *connect.Request[kcwpb.FleetAdmitRequest]) (*connect.Response[kcwpb.FleetAdmitResponse], error) {
	return nil, r.refusal(ctx)
}

// Permit refuses the call and names the leader if it is known.
func (r *redirector) Permit(context.Context, *connect.Request[kcwpb.FleetPermitRequest]) (*connect.Response[kcwpb.FleetPermitResponse], error) {
	return nil, newRefusal(errNotLeader, r.client.Leader(), r.client.View())
}

// Announce merges another host's view of the core and answers with this host's view. It
// does not locate the leader, because two redirectors would wait for each other.
func (r *redirector) Announce(_ context.Context, req *connect.Request[kcwpb.FleetAnnounceRequest]) (*connect.Response[kcwpb.FleetAnnounceResponse], error) {
	return exchangeViews(r.client, req.Msg)
}

// knowsMembers reports whether a view holds members of the core, so that the core exists.
func knowsMembers(view kcwdirectory.View) bool {
	return view.Leader.IsValid() || slices.ContainsFunc(view.Hosts, func(h kcwdirectory.Host) bool { return h.Member })
}

// ready returns nil if a leader can be located.
func (r *redirector) ready() error {
	if !r.locate(context.Background()).IsValid() {
		return errNoLeader
	}
	return nil
}

// handler returns the handler for routers and other members.
func (r *redirector) handler() http.Handler {
	mux := http.NewServeMux()
	options := []connect.HandlerOption{connect.WithReadMaxBytes(maxMessageBytes)}
	mux.Handle(kcwpbconnect.NewFleetHandler(r, options...))
	mux.Handle(kcwpbconnect.NewPeerHandler(r, options...))
	return mux
}
