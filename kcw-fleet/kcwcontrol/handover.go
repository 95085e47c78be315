package kcwcontrol

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwreplica"
)

// handOverTimeout returns how long a member that is about to stop waits for the loss of its
// vote: until the others take a member to be silent, but for a quarter of the time to its end
// at most.
func (m *Member) handOverTimeout() time.Duration {
	return min(m.silentAfter(), m.cfg.Settings.Stop.Grace/4)
}

// handOverVote announces that this member is about to stop and waits until it has no vote, if
// the group can do without it or has a learner. It gives up after handOverTimeout.
func (m *Member) handOverVote() {
	if m.service == nil {
		return
	}
	m.leaving.Store(true)
	ctx, cancel := context.WithTimeout(m.ctx, m.handOverTimeout())
	defer cancel()
	started := time.Now()
	var announceAt time.Time
	for {
		status := m.service.group.Status()
		if !m.canGiveUpVote(status) {
			klog.InfoS("Vote handed over or kept", "Voter", kcwreplica.IsVoter(status.GetMembership(), status.GetId()), "Waited", time.Since(started).String())
			return
		}
		if now := time.Now(); !now.Before(announceAt) {
			announceAt = now.Add(admitInterval)
			m.announceStop(ctx, status)
		}
		select {
		case <-ctx.Done():
			klog.InfoS("Vote not handed over in time", "Waited", time.Since(started).String())
			return
		case <-time.After(stopPollInterval):
		}
	}
}

// announceStop tells the leader that this member is about to stop.
func (m *Member) announceStop(ctx context.Context, status *kcwpb.GroupStatus) {
	if status.GetLeader() == status.GetId() {
		m.service.announceStop(m.self(status))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, admitInterval)
	defer cancel()
	if err := m.client.AnnounceStop(ctx, m.self(status)); err != nil {
		klog.InfoS("Stop not announced", "Cause", err.Error())
	}
}

// canGiveUpVote reports whether this replica leads or votes and the leader may be able to
// take its vote.
func (m *Member) canGiveUpVote(status *kcwpb.GroupStatus) bool {
	id, membership := status.GetId(), status.GetMembership()
	if id == 0 || !kcwreplica.IsVoter(membership, id) && status.GetLeader() != id {
		return false
	}
	voters := countVoters(membership)
	return voters < len(membership.GetMembers()) || voters > 2*m.cfg.Settings.Group.Losses+1
}
