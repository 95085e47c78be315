package kcwrouter

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw-fleet/kcwsource"
	"kingcupwick.example/kcw/kcwpb"
)

const (
	// followWait is how long a member may wait for a newer document before it answers without
	// one. A member that is lost is noticed after followTimeout, and two of them within the
	// time in which a document must be in force.
	followWait    = 500 * time.Millisecond
	followTimeout = 800 * time.Millisecond
	// documentPause is the mean pause after a document. Versions that follow each other faster
	// are skipped.
	documentPause = 200 * time.Millisecond
	// followPause is the mean pause while no member can be followed.
	followPause = 250 * time.Millisecond
	// maxContactAge is the age of a member's contact with the leader beyond which it may lack
	// the newest document. It is longer than an election.
	maxContactAge = 1500 * time.Millisecond
)

// caller calls members of the core.
type caller interface {
	// Follow returns the answer of the member at address.
	Follow(ctx context.Context, member netip.AddrPort, req *kcwpb.FleetFollowRequest) (*kcwpb.FleetFollowResponse, error)
}

// follower receives documents from members of the core apart from the reports, which only the
// leader answers once they are committed.
type follower struct {
	source *kcwsource.Source
	call   caller
	// version returns the version in force, zero if there is none. The first document comes
	// with a report, since a member that is behind may have an older one than this router had
	// before it restarted.
	version func() uint64
	// apply puts a document that a member sent in force if it is newer than the current one.
	// Gap is the time since the call before was answered.
	apply func(put *kcwpb.PutDocument, member netip.AddrPort, gap time.Duration)
	// answeredAt is when the last answered call was sent.
	answeredAt time.Time
}

// setMembers sets the members that an answer of the leader names.
func (f *follower) setMembers(response *kcwpb.FleetSyncResponse) {
	if addresses := kcwcore.ParseAddresses(response.GetCore()); len(addresses) == len(response.GetCore()) && len(addresses) > 0 {
		f.source.SetMembers(addresses, response.GetCoreZones())
	}
}

// run follows members until ctx ends.
func (f *follower) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		pause := followPause
		if f.version() > 0 {
			pause = f.follow(ctx)
		}
		if pause > 0 {
			pause = pause/2 + rand.N(pause)
		}
		timer.Reset(pause)
	}
}

// follow calls one member, and returns the mean pause before the next call.
func (f *follower) follow(ctx context.Context) time.Duration {
	sentAt := time.Now()
	member := f.source.Next(sentAt)
	if !member.IsValid() {
		return followPause
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	response, err := f.call.Follow(ctx, member, &kcwpb.FleetFollowRequest{DocumentVersion: f.version(), WaitNanos: int64(followWait)})
	contactAge := time.Duration(response.GetContactAgeNanos())
	isBehind := response.GetDocument() == nil && contactAge > maxContactAge
	if err != nil || isBehind {
		if f.source.RecordFailure(member, time.Now()) {
			klog.InfoS("Member not followed", "Member", member, "Cause", err, "ContactAge", contactAge.String(), "Version", f.version())
		}
		if f.source.AllAvoided(time.Now()) {
			return followPause
		}
		return 0
	}
	if f.source.RecordAnswer(member) {
		klog.InfoS("Member followed again", "Member", member, "Version", f.version())
	}
	gap := sentAt.Sub(f.answeredAt)
	f.answeredAt = sentAt
	if response.GetDocument() == nil {
		if f.answeredAt.Add(followWait / 2).After(time.Now()) {
			return followPause
		}
		return 0
	}
	f.apply(response.GetDocument(), member, gap)
	return documentPause
}
