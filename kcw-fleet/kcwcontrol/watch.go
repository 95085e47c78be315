package kcwcontrol

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwreplica"
)

// maxRefusals bounds the refused membership changes of which the log tells until the next
// change is made.
const maxRefusals = 32

// silences reports which members the leader takes to be silent.
type silences interface {
	IsSilent(id uint64, now time.Time) bool
	HeardAt(id uint64) time.Time
}

// role is whether a member votes, and when this replica first saw it so.
type role struct {
	voter bool
	since time.Time
}

// refused identifies a refused membership change.
type refused struct {
	kind   kcwpb.ChangeMembersRequest_Kind
	member uint64
	cause  string
}

// memberWatch records what operators are told of the members. It is not safe for
// concurrent use.
type memberWatch struct {
	roles map[uint64]role
	// silent holds the members that this replica, as leader, took to be silent last.
	silent  map[uint64]bool
	refused map[refused]bool
}

func newMemberWatch() *memberWatch {
	return &memberWatch{roles: map[uint64]role{}, silent: map[uint64]bool{}, refused: map[refused]bool{}}
}

// observeRoles records the roles of the members at now.
func (w *memberWatch) observeRoles(status *kcwpb.GroupStatus, now time.Time) {
	membership := status.GetMembership()
	present := map[uint64]bool{}
	for _, m := range membership.GetMembers() {
		present[m.GetId()] = true
		voter := kcwreplica.IsVoter(membership, m.GetId())
		if last, found := w.roles[m.GetId()]; !found || last.voter != voter {
			w.roles[m.GetId()] = role{voter, now}
		}
	}
	maps.DeleteFunc(w.roles, func(id uint64, _ role) bool { return !present[id] })
}

// observeSilence logs the members that became silent or were heard again.
func (w *memberWatch) observeSilence(status *kcwpb.GroupStatus, s silences, now time.Time) {
	for _, m := range status.GetMembership().GetMembers() {
		id := m.GetId()
		silent := s.IsSilent(id, now)
		if silent == w.silent[id] {
			continue
		}
		w.silent[id] = silent
		text := "Member heard again"
		if silent {
			text = "Member silent"
		}
		klog.InfoS(text, "Member", m.GetAddress(), "Identity", id, "Voter", !m.GetLearner(),
			"Silence", now.Sub(s.HeardAt(id)).String(), "Match", status.GetMatches()[id], "Commit", status.GetCommit())
	}
	maps.DeleteFunc(w.silent, func(id uint64, silent bool) bool { return !silent || s.HeardAt(id).IsZero() })
}

// forgetLeading discards what only a leader knows.
func (w *memberWatch) forgetLeading() {
	clear(w.silent)
	clear(w.refused)
}

// silentVoters returns the number of voters that this replica, as leader, takes to be
// silent.
func (w *memberWatch) silentVoters(status *kcwpb.GroupStatus) int64 {
	var n int64
	for id, silent := range w.silent {
		if silent && kcwreplica.IsVoter(status.GetMembership(), id) {
			n++
		}
	}
	return n
}

// reportChange logs a membership change that was made; after is the membership since then.
func (w *memberWatch) reportChange(change *kcwpb.ChangeMembersRequest, status *kcwpb.GroupStatus, after *kcwpb.Membership, s silences, now time.Time) {
	clear(w.refused)
	g := listMembers(after, s, now)
	klog.InfoS("Membership changed", "Kind", change.GetKind().String(), "Member", change.GetMember().GetAddress(), "Identity", change.GetMember().GetId(),
		"Replaced", addressOf(status.GetMembership(), change.GetReplaced()), "Voters", g.voters, "Learners", g.learners, "SilentMembers", g.silent, "Term", status.GetTerm())
}

// reportRefusal logs a membership change that the group refused, unless the log tells of it
// since the last change.
func (w *memberWatch) reportRefusal(change *kcwpb.ChangeMembersRequest, status *kcwpb.GroupStatus, cause error, s silences, now time.Time) {
	key := refused{change.GetKind(), change.GetMember().GetId(), cause.Error()}
	if w.refused[key] || len(w.refused) >= maxRefusals {
		return
	}
	w.refused[key] = true
	g := listMembers(status.GetMembership(), s, now)
	klog.InfoS("Membership change refused", "Kind", change.GetKind().String(), "Member", change.GetMember().GetAddress(), "Identity", change.GetMember().GetId(),
		"Replaced", addressOf(status.GetMembership(), change.GetReplaced()), "Voters", g.voters, "Learners", g.learners, "SilentMembers", g.silent, "Term", status.GetTerm(),
		"Cause", cause.Error())
}

// memberLists holds the addresses of the voters and learners, and of the silent members with
// the time for which they have been silent.
type memberLists struct {
	voters, learners, silent []string
}

func listMembers(membership *kcwpb.Membership, s silences, now time.Time) memberLists {
	var g memberLists
	for _, m := range membership.GetMembers() {
		if m.GetLearner() {
			g.learners = append(g.learners, m.GetAddress())
		} else {
			g.voters = append(g.voters, m.GetAddress())
		}
		if s.IsSilent(m.GetId(), now) {
			g.silent = append(g.silent, m.GetAddress()+" for "+now.Sub(s.HeardAt(m.GetId())).String())
		}
	}
	return g
}

// addressOf returns the address of the member id, or the identity if it is no member. It is
// empty if id is zero.
func addressOf(membership *kcwpb.Membership, id uint64) string {
	if id == 0 {
		return ""
	}
	i := slices.IndexFunc(membership.GetMembers(), func(m *kcwpb.Member) bool { return m.GetId() == id })
	if i < 0 {
		return strconv.FormatUint(id, 10)
	}
	return membership.GetMembers()[i].GetAddress()
}

// memberState is a member as the state dump shows it.
type memberState struct {
	Address  string
	Identity uint64
	// Voter is whether the member votes, and Since when this replica first saw it so.
	Voter bool
	Since time.Time
	// SilentFor is how long the leader has seen no progress of the member, and Match the
	// index up to which the member has the log. Only the leader knows them.
	SilentFor string `json:",omitempty"`
	Match     uint64 `json:",omitempty"`
}

// dump returns the state of the members at now.
func (w *memberWatch) dump(status *kcwpb.GroupStatus, s silences, now time.Time) []memberState {
	var states []memberState
	for _, m := range status.GetMembership().GetMembers() {
		id := m.GetId()
		state := memberState{
			Address: m.GetAddress(), Identity: id, Voter: kcwreplica.IsVoter(status.GetMembership(), id),
			Since: w.roles[id].since, Match: status.GetMatches()[id],
		}
		if heard := s.HeardAt(id); !heard.IsZero() {
			state.SilentFor = now.Sub(heard).String()
		}
		states = append(states, state)
	}
	return states
}
