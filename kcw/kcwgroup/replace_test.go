package kcwgroup

import (
	"slices"
	"testing"
	"time"

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
			hosts := c.running()
			for _, h := range hosts {
				// A command whose outcome was unknown may be in the list twice.
				c.awaitCommands(h, commands)
				c.eventually("the same commands at "+h.name, func() bool {
					return slices.Equal(h.machine.list(), hosts[0].machine.list())
				})
			}
		})
	}
}

// A leader that is replaced or demoted reports the outcome to the caller, and the group
// goes on with another leader in the next term.
func TestReplacedLeaderReportsOutcome(t *testing.T) {
	for _, test := range []struct {
		name string
		kind kcwpb.ChangeMembersRequest_Kind
	}{
		{"replaced", kcwpb.ChangeMembersRequest_KIND_REPLACE},
		{"demoted", kcwpb.ChangeMembersRequest_KIND_DEMOTE},
	} {
		t.Run(test.name, func(t *testing.T) {
			// No election timeout ends before the leader has handed over.
			c := newCluster(t, 3, func(cfg *Config) { cfg.Election = 2 * time.Second })
			c.startAll()
			commands := c.proposeMany("c", 20)
			h := c.addHost("h4")
			c.start(h.name, false)
			member := &kcwpb.Member{Id: h.group.Status().Id, Name: h.name, Address: h.address}
			c.change(kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER, member)
			c.awaitCommands(h, commands)
			old := c.leader()
			term, id := old.group.Status().Term, old.group.Status().Id
			req := &kcwpb.ChangeMembersRequest{Kind: test.kind, Member: &kcwpb.Member{Id: id}}
			if test.kind == kcwpb.ChangeMembersRequest_KIND_REPLACE {
				req.Member, req.Replaced = member, id
			}
			c.eventually("change", func() bool {
				membership, err := old.group.ChangeMembers(t.Context(), req)
				if kindOf(err) == NotCaughtUp {
					return false
				}
				if err != nil || findMember(membership, id) == nil || !findMember(membership, id).Learner {
					t.Fatalf("the change gave %v and %v, want a membership with %d as a learner", membership, err, id)
				}
				return true
			})
			next := c.leader(old.name)
			if got := next.group.Status().Term; got != term+1 {
				t.Errorf("term %d after the leader gave up its vote, want %d", got, term+1)
			}
			commands = append(commands, c.proposeMany("d", 3)...)
			c.awaitCommands(h, commands)
			c.awaitCommands(old, commands)
			c.eventually("role of a learner", func() bool { return old.group.Status().Role == "learner" })
		})
	}
}

func findMember(membership *kcwpb.Membership, id uint64) *kcwpb.Member {
	for _, m := range membership.GetMembers() {
		if m.Id == id {
			return m
		}
	}
	return nil
}
