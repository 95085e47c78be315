package kcwgroup

import (
	"slices"
	"testing"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwreplica"
)

// replace adds h as a learner and replaces the voter replaced by it, and waits until a
// leader reports the replacement as complete.
func (c *cluster) replace(h *host, replaced uint64) {
	c.t.Helper()
	member := &kcwpb.Member{Id: h.group.Status().Id, Name: h.name, Address: h.address}
	c.change(kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER, member)
	c.request(&kcwpb.ChangeMembersRequest{
		Kind: kcwpb.ChangeMembersRequest_KIND_REPLACE, Member: member, Replaced: replaced,
	})
	c.eventually("the end of the replacement", func() bool {
		membership := c.leader().group.Status().Membership
		return len(membership.Outgoing) == 0 && kcwreplica.IsVoter(membership, member.Id) && !kcwreplica.IsVoter(membership, replaced)
	})
}

// After a voter that is gone was replaced in one change, the loss of another one leaves a
// quorum.
func TestReplacedVoterLeavesQuorum(t *testing.T) {
	for _, test := range []struct {
		name string
		// sameHost is set if the voter's host comes back with an empty disk, and so at
		// the address of the voter; otherwise another host takes its place.
		sameHost bool
		// leads is set if the voter that is gone led.
		leads bool
		// overConnect is set if the hosts communicate over loopback connections.
		overConnect bool
	}{
		{"another host", false, false, false},
		{"another host for a leader", false, true, false},
		{"the same host with an empty disk", true, false, false},
		{"the same host with an empty disk, over connections", true, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 3, nil)
			if test.overConnect {
				overConnect(c)
			}
			c.startAll()
			commands := c.proposeMany("c", 20)
			leader := c.leader()
			gone := leader
			for _, h := range c.hosts {
				if !test.leads && h != leader {
					gone = h
				}
			}
			replaced := gone.group.Status().Id
			c.loseDisk(gone.name)
			successor := gone
			if !test.sameHost {
				successor = c.addHost("h4")
			}
			c.replace(c.start(successor.name, false), replaced)
			commands = append(commands, c.proposeMany("d", 20)...)
			c.stop(c.leader().name, true)
			commands = append(commands, c.proposeMany("e", 20)...)
			for _, h := range c.running() {
				c.eventually("the same commands at "+h.name, func() bool {
					return slices.Equal(h.machine.list(), commands)
				})
			}
		})
	}
}

// A leader that is replaced reports the outcome to the caller, and the group goes on with
// another leader in the next term.
func TestReplacedLeaderReportsOutcome(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	commands := c.proposeMany("c", 20)
	old := c.leader()
	term, id := old.group.Status().Term, old.group.Status().Id
	h := c.addHost("h4")
	c.start(h.name, false)
	member := &kcwpb.Member{Id: h.group.Status().Id, Name: h.name, Address: h.address}
	c.change(kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER, member)
	c.awaitCommands(h, commands)
	req := &kcwpb.ChangeMembersRequest{Kind: kcwpb.ChangeMembersRequest_KIND_REPLACE, Member: member, Replaced: id}
	c.eventually("a replacement", func() bool {
		membership, err := old.group.ChangeMembers(t.Context(), req)
		if kindOf(err) == NotCaughtUp {
			return false
		}
		if err != nil || !slices.Contains(membership.Outgoing, id) || !kcwreplica.IsVoter(membership, member.Id) {
			t.Fatalf("replace gave %v and %v, want a membership with %d outgoing", membership, err, id)
		}
		return true
	})
	next := c.leader(old.name)
	if got := next.group.Status().Term; got != term+1 {
		t.Errorf("term %d after the replacement of the leader, want %d by a transfer", got, term+1)
	}
	commands = append(commands, c.proposeMany("d", 3)...)
	c.awaitCommands(h, commands)
	c.awaitCommands(old, commands)
	if role := old.group.Status().Role; role != "learner" {
		t.Errorf("role %s of the replaced leader, want learner", role)
	}
}
