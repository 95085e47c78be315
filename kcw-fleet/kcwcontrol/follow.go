package kcwcontrol

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
)

const (
	// maxFollowWait bounds the wait of one call for a newer document.
	maxFollowWait = 2 * time.Second
	// sendRetryPause is the pause until a document whose turn would come too late is tried
	// again.
	sendRetryPause = 50 * time.Millisecond
	// reportDelay is the age from which a document is also sent in answers to reports. Until
	// then, routers get it from the members that they follow.
	reportDelay = 250 * time.Millisecond
)

// Follow answers with the newest document that this member has applied, once it is newer than
// the router's, or without one at the end of the wait. Applied documents are committed, so that
// a member need not lead to answer.
func (s *service) Follow(ctx context.Context, req *connect.Request[kcwpb.FleetFollowRequest]) (*connect.Response[kcwpb.FleetFollowResponse], error) {
	deadline := time.Now().Add(min(max(0, time.Duration(req.Msg.GetWaitNanos())), maxFollowWait))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	response := &kcwpb.FleetFollowResponse{}
	for ctx.Err() == nil {
		changed := s.notifier.Changed()
		if document := s.table.Document(); document.GetVersion() > req.Msg.GetDocumentVersion() {
			if s.awaitTurn(ctx, len(document.GetDocument())) {
				// A newer version may have been applied meanwhile.
				response.Document = s.table.Document()
				s.sent.followed.Add(1)
				break
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	if age, found := s.group.ContactAge(); found {
		response.ContactAgeNanos = int64(age)
	} else {
		response.ContactAgeNanos = int64(staleAge)
	}
	return connect.NewResponse(response), nil
}

// awaitTurn waits until the given number of bytes may be sent, and reports whether they may. If
// their turn would come after ctx ends, it waits for sendRetryPause only.
func (s *service) awaitTurn(ctx context.Context, bytes int) bool {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	at, ok := s.pacer.reserve(bytes, now, deadline.Sub(now))
	if !ok {
		at = now.Add(sendRetryPause)
	}
	timer := time.NewTimer(at.Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ok
	case <-ctx.Done():
		return false
	}
}
