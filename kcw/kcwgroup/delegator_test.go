package kcwgroup

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// foundingMessage returns a message of a founder or candidate that asks for an answer.
func foundingMessage(hint uint64, name, zone string, id uint64) *kcwpb.Message {
	member := &kcwpb.Member{Id: id, Name: name, Zone: zone, Address: name}
	return &kcwpb.Message{Kind: foundKind, From: id, Hint: hint, Round: replyRequested, Membership: &kcwpb.Membership{Members: []*kcwpb.Member{member}}}
}

// TestDelegatorChooses checks which hosts may substitute for a founder without a disk, when one is
// chosen, and that it stays.
func TestDelegatorChooses(t *testing.T) {
	start := time.Now()
	chooseAt := start.Add(time.Second)
	type heard struct {
		hint       uint64
		name, zone string
		id         uint64
		at         time.Duration
	}
	for _, test := range []struct {
		name, self string
		heard      []heard
		want       string
	}{
		{"too early", "n2", []heard{{hintIdentity, "d1", "z", 1, 0}}, ""},
		{"the host of its zone", "n2", []heard{{hintIdentity, "d1", "a", 1, 0}, {hintIdentity, "d2", "z", 2, 0}, {hintIdentity, "d1", "a", 1, time.Second}}, "d2 2"},
		{"by its place among the founders", "n2", []heard{{hintIdentity, "d1", "a", 1, 0}, {hintIdentity, "d2", "a", 2, 0}, {hintIdentity, "d3", "a", 3, time.Second}}, "d2 2"},
		{"another place", "n3", []heard{{hintIdentity, "d1", "a", 1, 0}, {hintIdentity, "d2", "a", 2, 0}, {hintIdentity, "d3", "a", 3, time.Second}}, "d3 3"},
		{"founders are no candidates", "n2", []heard{{hintIdentity, "n1", "z", 1, time.Second}}, ""},
		{"late ones are none", "n1", []heard{{hintIdentity, "d2", "a", 2, time.Second}, {hintIdentity, "d1", "a", 1, 2 * time.Second}}, "d2 2"},
		{"one that has lost its disk before", "n1", []heard{{hintIdentity, "d1", "a", 1, 0}, {hintIdentity, "d1", "a", 7, time.Second}}, "d1 7"},
		{"one that has lost its disk afterwards", "n1", []heard{{hintIdentity, "d1", "a", 1, time.Second}, {hintIdentity, "d1", "a", 7, time.Second}}, "d1 1"},
		{"a set of founders exists", "n1", []heard{{hintPersisted, "d2", "a", 2, 0}, {hintIdentity, "d1", "a", 1, time.Second}}, ""},
		{"a group exists", "n1", []heard{{hintMember, "d2", "a", 2, 0}, {hintIdentity, "d1", "a", 1, time.Second}}, ""},
	} {
		founders := []*kcwpb.Member{{Name: "n1"}, {Name: "n2"}, {Name: "n3"}}
		d := NewDelegator(DelegatorConfig{Group: "g", Name: test.self, Zone: "z", Address: netip.MustParseAddrPort("127.0.0.1:40001"), Founders: founders, ChooseAt: chooseAt})
		got := ""
		for _, h := range test.heard {
			to, reply := d.Step(foundingMessage(h.hint, h.name, h.zone, h.id), start.Add(h.at))
			if to.GetName() != h.name || reply.GetHint() != hintSubstitute || senderOf(reply).GetName() != test.self {
				t.Errorf("%s: the reply %v goes to %v", test.name, reply, to)
			}
			got = ""
			for _, m := range reply.GetMembership().GetMembers()[1:] {
				got = fmt.Sprint(m.Name, " ", m.Id)
			}
		}
		if got != test.want {
			t.Errorf("%s: chose %q, want %q", test.name, got, test.want)
		}
	}
}

// seeded is a cluster whose founders may lack a disk. Names of hosts without one begin with n.
type seeded struct {
	*cluster
	foundersOf []string

	// seededMu guards the fields below. Lock order: seededMu before the mutex of cluster.
	seededMu   sync.Mutex
	delegators map[string]*Delegator
	random     *rand.Rand
	// lossRate is the probability that a message is lost.
	lossRate float64
	// candidates is the number of candidates that a delegator must know before it chooses, zero to
	// choose at DelegatorConfig.ChooseAt.
	candidates int
}

func newSeeded(t *testing.T, founders, hosts []string, seed uint64) *seeded {
	t.Helper()
	s := &seeded{cluster: newCluster(t, 0, nil), foundersOf: founders, delegators: map[string]*Delegator{}, random: rand.New(rand.NewPCG(seed, 0))}
	for _, name := range slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(founders), hosts...)))) {
		s.addHost(name)
	}
	s.configure = func(cfg *Config) {
		cfg.Founders, cfg.Substitute = s.founderMembers(), !slices.Contains(founders, cfg.Name)
		cfg.Send = s.sendTo(cfg.Name)
	}
	return s
}

func (s *seeded) founderMembers() []*kcwpb.Member {
	var members []*kcwpb.Member
	for _, name := range s.foundersOf {
		members = append(members, &kcwpb.Member{Name: name, Address: s.hosts[name].address})
	}
	return members
}

func isDiskless(name string) bool { return strings.HasPrefix(name, "n") }

// startHost starts a replica, or a delegator at a founder without a disk that may found the group.
func (s *seeded) startHost(name string, bootstrap bool) {
	if !isDiskless(name) {
		s.start(name, bootstrap)
		return
	}
	s.seededMu.Lock()
	defer s.seededMu.Unlock()
	delete(s.delegators, name)
	if bootstrap {
		s.delegators[name] = NewDelegator(DelegatorConfig{
			Group: "test", Name: name, Zone: "z-" + name, Address: netip.MustParseAddrPort(s.hosts[name].address), Founders: s.founderMembers(), ChooseAt: time.Now().Add(30 * time.Millisecond),
		})
	}
}

// sendTo returns a Config.Send for the host from.
func (s *seeded) sendTo(from string) func(*kcwpb.Member, []*kcwpb.Message) {
	send := s.send(from)
	return func(to *kcwpb.Member, msgs []*kcwpb.Message) {
		s.seededMu.Lock()
		defer s.seededMu.Unlock()
		for _, m := range msgs {
			if s.random.Float64() < s.lossRate {
				continue
			}
			send(to, []*kcwpb.Message{m})
			for name, d := range s.delegators {
				if s.hosts[name].address != to.Address || s.isCut(from, name) {
					continue
				}
				now := time.Now()
				if len(d.candidates) < s.candidates {
					now = time.Time{}
				}
				if back, reply := d.Step(m, now); reply != nil && s.random.Float64() >= s.lossRate {
					s.send(name)(back, []*kcwpb.Message{reply})
				}
			}
		}
	}
}

func (s *seeded) isCut(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts[[2]string{from, to}]
}

// membersOf returns the names and identities of a membership in their order.
func membersOf(membership *kcwpb.Membership) string {
	var members []string
	for _, m := range membership.GetMembers() {
		members = append(members, m.Name+" "+strconv.FormatUint(m.Id, 16))
	}
	return strings.Join(slices.Sorted(slices.Values(members)), ", ")
}

// TestSubstitutesFoundTheGroup guards against a group that is never founded because a founder has
// no disk.
func TestSubstitutesFoundTheGroup(t *testing.T) {
	for _, test := range []struct {
		name            string
		founders, disks []string
		want            []string
	}{
		{"all have a disk", []string{"d1", "d2", "d3"}, []string{"d4"}, []string{"d1", "d2", "d3"}},
		{"one has none", []string{"d1", "d2", "n4"}, []string{"d3"}, []string{"d1", "d2", "d3"}},
		{"two have none", []string{"d1", "n4", "n5"}, []string{"d2", "d3"}, []string{"d1", "d2", "d3"}},
		{"none has one", []string{"n4", "n5", "n6"}, []string{"d1", "d2", "d3"}, []string{"d1", "d2", "d3"}},
		{"one host for two", []string{"d1", "n4", "n5"}, []string{"d2"}, []string{"d1", "d2"}},
		{"one host at all", []string{"n4", "n5", "n6"}, []string{"d1"}, []string{"d1"}},
		{"more hosts than founders", []string{"n4"}, []string{"d1", "d2", "d3"}, []string{"d1"}},
	} {
		s := newSeeded(t, test.founders, test.disks, 1)
		s.lossRate = 0.2
		for name := range s.hosts {
			if !isDiskless(name) && !slices.Contains(test.founders, name) {
				s.candidates++
			}
		}
		for name := range s.hosts {
			s.startHost(name, true)
		}
		commands := s.proposeMany("c", 3)
		leader := s.leader()
		s.awaitCommands(leader, commands)
		var got []string
		for _, m := range leader.group.Status().GetMembership().GetMembers() {
			got = append(got, m.Name)
		}
		if slices.Sort(got); !slices.Equal(got, test.want) {
			t.Errorf("%s: founded by %v, want %v", test.name, got, test.want)
		}
		for _, h := range s.running() {
			if !slices.Contains(test.want, h.name) {
				s.eventually("end of the founding at "+h.name, func() bool { return h.group.Status().GetRole() == "learner" })
			}
		}
		s.close()
	}
}

// TestRestartedFoundersChooseNobody guards against a second group beside one that is cut off, from
// hosts that start late while all founders without a disk have been started again.
func TestRestartedFoundersChooseNobody(t *testing.T) {
	s := newSeeded(t, []string{"n4", "n5", "n6"}, []string{"d1", "d2", "d3", "d7", "d8", "d9"}, 1)
	for _, name := range []string{"d1", "d2", "d3", "n4", "n5", "n6"} {
		s.startHost(name, true)
	}
	commands := s.proposeMany("c", 3)
	for _, name := range []string{"d1", "d2", "d3"} {
		s.isolate(name)
	}
	for _, name := range []string{"n4", "n5", "n6"} {
		s.startHost(name, false)
	}
	for _, name := range []string{"d7", "d8", "d9"} {
		s.startHost(name, true)
	}
	const watched = 500 * time.Millisecond
	time.Sleep(watched)
	for _, name := range []string{"d7", "d8", "d9"} {
		if status := s.hosts[name].group.Status(); len(status.GetMembership().GetMembers()) > 0 {
			t.Errorf("%s is a member of %v", name, status.GetMembership())
		}
		if founders, err := loadFounders(s.hosts[name].folder); err != nil || founders != nil {
			t.Errorf("%s has persisted %v, %v", name, founders, err)
		}
	}
	// A host that is not told of founders can still be added.
	for _, name := range []string{"d1", "d2", "d3"} {
		s.reconnect(name)
	}
	late := s.hosts["d7"]
	s.change(kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER, &kcwpb.Member{Id: late.group.Status().GetId(), Name: "d7", Address: late.address})
	s.awaitCommands(late, commands)
	s.eventually("end of the founding", func() bool { return late.group.Status().GetRole() == "learner" })
}

// TestNoSecondGroupIsFounded guards against two groups, from founders with and without a disk that are
// late, killed, cut off and started again, some with an empty disk, while messages are lost.
func TestNoSecondGroupIsFounded(t *testing.T) {
	first := uint64(seed(t, 62))
	for i := range uint64(sequences(t, 24)) {
		t.Run(strconv.FormatUint(first+i, 10), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(first+i, 1))
			names := []string{"d1", "d2", "d3", "d4", "d5", "d6"}
			founders := []string{"d1", "d2", "d3"}
			for at := range founders {
				if random.IntN(3) > 0 {
					founders[at] = "n" + founders[at][1:]
				}
			}
			s := newSeeded(t, founders, names, first+i)
			s.lossRate = 0.3 * random.Float64()
			// Half of the sequences restart hosts as the platform does. In the others they may found the
			// group again, but for one founder, which keeps what it knows.
			isToldAgain, keeps := random.IntN(2) == 0, founders[random.IntN(len(founders))]
			all := slices.Sorted(maps.Keys(s.hosts))
			for _, at := range random.Perm(len(all)) {
				s.startHost(all[at], true)
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			}
			groups := map[string]bool{}
			observe := func() {
				for _, h := range s.running() {
					if members := membersOf(h.group.Status().GetMembership()); members != "" {
						groups[members] = true
					}
				}
			}
			for range 12 {
				name := all[random.IntN(len(all))]
				isKept := name == keeps
				switch kind := random.IntN(5); {
				case kind == 0:
					s.isolate(name)
				case kind == 1:
					s.reconnect(name)
				case isDiskless(name) && !isKept:
					s.startHost(name, isToldAgain)
				case !isDiskless(name) && kind == 2 && !isKept:
					s.loseDisk(name)
					s.startHost(name, isToldAgain)
				case !isDiskless(name):
					s.stop(name, true)
					s.startHost(name, isToldAgain)
				}
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
				observe()
			}
			for _, name := range all {
				s.reconnect(name)
			}
			time.Sleep(200 * time.Millisecond)
			observe()
			if len(groups) > 1 {
				t.Errorf("founders %v, told again %v: groups of %v", founders, isToldAgain, groups)
			}
			t.Logf("founders %v, told again %v, %d groups", founders, isToldAgain, len(groups))
		})
	}
}
