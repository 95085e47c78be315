package kcwmembership_test

import (
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwmembership"
)

// setting returns the number in the environment variable name, n if it is not set.
func setting(t *testing.T, name string, n int64) int64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return n
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// host is a machine with a disk, or one after the other at the same place in the fleet: a
// host that is removed and its successor count as one.
type host struct {
	address string
	// id is its replica, and zero once it is gone and its successor has not started.
	id uint64
	// down is set while it does not run; then backAt is when it starts again, with an
	// empty disk if wiped is set.
	down   bool
	backAt time.Time
	wiped  bool
	// Until these times it is frozen, its disk is slow, its disk refuses or hangs, or it is
	// cut off from the others.
	frozen, slow, stalled, cut time.Time
	// stopAt is when it gets SIGTERM, zero if never; onStop is what follows its end.
	stopAt time.Time
	onStop func(*host)
	// succeeds is set while it is the successor of a host that has not stopped yet.
	succeeds bool
	// countsUntil is until when it counts as lost, and disksLost the number of disks lost
	// since no host counted as lost.
	countsUntil time.Time
	disksLost   int
	// extendedUntil is later than countsUntil if meanwhile no membership could change.
	extendedUntil time.Time
}

// scenario is a drawn sequence of troubles in one group.
type scenario struct {
	rnd    *rand.Rand
	losses int
	group  *group
	hosts  []*host
	nextID uint64
	// addresses is the number of addresses in use so far.
	addresses int
	// half maps addresses to the half of the split, until splitUntil.
	half       map[string]bool
	splitUntil time.Time
	// returns holds replicas whose hosts come back late.
	returns []lateReturn
	// eventAt is the time of the last event, and unsettledUntil that until which the
	// effects of a split or of more losses than tolerated may last.
	eventAt, unsettledUntil time.Time
	log                     []string
	start                   time.Time
	violation               string
}

type lateReturn struct {
	at      time.Time
	replica *replica
	wiped   bool
}

// simConfig returns the rules under test, with the times that the fleet's core uses.
func simConfig(losses int) kcwmembership.Config {
	return kcwmembership.Config{
		Losses: losses, SilentAfter: simCatchUp / 4, RemoveAfter: 3 * simCatchUp,
		MaxRequestAge: 4 * simRequest, MaxPause: 2 * simPlan,
	}
}

func newScenario(seed int64) *scenario {
	rnd := rand.New(rand.NewSource(seed))
	s := &scenario{rnd: rnd, losses: 1 + rnd.Intn(2), half: map[string]bool{}}
	n := 2*s.losses + 1 + rnd.Intn(8-2*s.losses)
	s.start = time.Unix(1_700_000_000, 0)
	s.group = newGroup(rnd, simConfig(s.losses), s.start)
	s.group.runs = func(id uint64) bool {
		h := s.host(id)
		return h != nil && s.runs(h)
	}
	s.group.connected = func(a, b uint64) bool { return s.connected(s.host(a), s.host(b)) }
	s.group.speed = func(id uint64) int {
		if h := s.host(id); s.now().Before(h.slow) {
			// A slow disk stores a few entries in every third tick.
			if s.now().UnixMilli()/simTick.Milliseconds()%3 != 0 {
				return 0
			}
			return 4
		}
		return 100
	}
	var founders []string
	for i := range n {
		s.hosts = append(s.hosts, &host{address: s.newAddress(), id: uint64(i + 1)})
		if i < 3 {
			founders = append(founders, s.hosts[i].address)
		}
	}
	s.nextID = uint64(n + 1)
	s.group.found(founders)
	for i := 3; i < n; i++ {
		s.group.add(s.hosts[i].id, s.hosts[i].address)
	}
	return s
}

func (s *scenario) now() time.Time { return s.group.now }

func (s *scenario) host(id uint64) *host {
	for _, h := range s.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (s *scenario) runs(h *host) bool {
	return !h.down && !s.now().Before(h.frozen) && !s.now().Before(h.stalled)
}

func (s *scenario) connected(a, b *host) bool {
	if s.now().Before(a.cut) || s.now().Before(b.cut) {
		return false
	}
	return !s.isSplit() || s.half[a.address] == s.half[b.address]
}

func (s *scenario) isSplit() bool { return s.now().Before(s.splitUntil) }

// isTroubled reports whether h is in trouble now.
func (s *scenario) isTroubled(h *host) bool {
	return !s.runs(h) || s.now().Before(h.slow) || s.now().Before(h.cut)
}

// counts reports whether h counts as lost.
func (s *scenario) counts(h *host) bool {
	return s.now().Before(h.countsUntil) || s.now().Before(h.extendedUntil)
}

// lost returns how many hosts count as lost, and how many of them lost their disk.
func (s *scenario) lost() (hosts, disks int) {
	for _, h := range s.hosts {
		if s.counts(h) {
			hosts++
		}
		disks += h.disksLost
	}
	return hosts, disks
}

func (s *scenario) note(format string, args ...any) {
	s.eventAt = s.now()
	s.log = append(s.log, fmt.Sprintf("%6.1f ", s.now().Sub(s.start).Seconds())+fmt.Sprintf(format, args...))
}

func (s *scenario) newAddress() string {
	s.addresses++
	return fmt.Sprintf("host-%d", s.addresses)
}

func (s *scenario) duration(from, to time.Duration) time.Duration {
	return (from + time.Duration(s.rnd.Int63n(int64(to-from)))).Truncate(simTick)
}

// step advances the scenario by one tick.
func (s *scenario) step() {
	s.group.tick()
	s.resume()
	s.stopHosts()
	s.returnLate()
	s.count()
}

// resume starts hosts whose time has come.
func (s *scenario) resume() {
	for _, h := range s.hosts {
		if !h.down || s.now().Before(h.backAt) {
			continue
		}
		h.down = false
		switch {
		case h.wiped || h.id == 0:
			delete(s.group.replicas, h.id)
			h.id, h.wiped = s.nextID, false
			s.nextID++
			s.group.add(h.id, h.address)
			s.note("%s starts with an empty disk as %d", h.address, h.id)
		default:
			s.group.restart(s.group.replicas[h.id])
			s.note("%s starts again", h.address)
		}
	}
}

// stopHosts carries out planned stops: a replica announces its stop and waits for the loss of
// its vote if there is a learner. No operator stops a host while more are lost than
// tolerated.
func (s *scenario) stopHosts() {
	lost, _ := s.lost()
	for _, h := range slices.Clone(s.hosts) {
		if h.stopAt.IsZero() || s.now().Before(h.stopAt) || h.down {
			continue
		}
		r := s.group.replicas[h.id]
		if !s.runs(h) || r.leaving.IsZero() && lost > s.losses {
			continue
		}
		if r.leaving.IsZero() {
			s.note("%s gets SIGTERM", h.address)
			r.leaving = s.now().Add(simCatchUp / 2)
		}
		members := r.log.members
		isVoter := slices.Contains(voters(members), r.id) || slices.Contains(members.GetOutgoing(), r.id)
		if (isVoter || r.leading != nil) && (len(members.GetMembers()) > len(voters(members)) || len(voters(members)) > 2*s.losses+1) && s.now().Before(r.leaving) {
			if leader := s.group.leader(); leader != nil && s.group.reach(r.id, leader.id) {
				leader.planner.AnnounceStop(memberOf(r), s.now())
			}
			continue
		}
		s.note("%s ends", h.address)
		h.stopAt = time.Time{}
		r.leading = nil
		h.onStop(h)
	}
}

// returnLate brings back hosts that were replaced, as further hosts.
func (s *scenario) returnLate() {
	s.returns = slices.DeleteFunc(s.returns, func(late lateReturn) bool {
		if s.now().Before(late.at) || !s.now().Before(s.start.Add(warmUp+length)) {
			return false
		}
		r := late.replica
		h := &host{address: r.address, id: r.id}
		if late.wiped {
			h.id = s.nextID
			s.nextID++
			s.group.add(h.id, h.address)
		} else {
			s.group.replicas[r.id] = r
			s.group.restart(r)
		}
		s.hosts = append(s.hosts, h)
		s.note("%s comes back late as %d, empty: %v", h.address, h.id, late.wiped)
		return true
	})
}

// count extends the time for which hosts count as lost: CatchUp from the end of their
// trouble. While the hosts are split or more count as lost than tolerated, and until the first
// commit after that, no membership can change, so that CatchUp starts anew.
func (s *scenario) count() {
	lost, counted := 0, false
	for _, h := range s.hosts {
		if until := s.now().Add(simCatchUp); s.isTroubled(h) && until.After(h.countsUntil) {
			h.countsUntil = until
		}
		if s.now().Before(h.countsUntil) {
			lost++
		}
		counted = counted || s.counts(h)
	}
	elects := s.now().Before(s.unsettledUntil) && s.now().Sub(s.group.ackedAt) > time.Second
	if s.isSplit() || lost > s.losses || elects {
		s.unsettledUntil = s.now().Add(simCatchUp)
	}
	for _, h := range s.hosts {
		if s.counts(h) && s.unsettledUntil.Equal(s.now().Add(simCatchUp)) {
			h.extendedUntil = s.unsettledUntil
		}
		if !counted {
			h.disksLost = 0
		}
	}
}

// gone makes the replica of h be gone for good; its successor starts later at another
// address.
func (s *scenario) gone(h *host, after time.Duration) *replica {
	r := s.group.replicas[h.id]
	delete(s.group.replicas, h.id)
	h.address = s.newAddress()
	h.id, h.down, h.backAt = 0, true, s.now().Add(after)
	h.disksLost++
	h.countsUntil = h.backAt.Add(simCatchUp)
	return r
}

// disturb draws a trouble of one host that no other trouble affects.
func (s *scenario) disturb() {
	var calm []*host
	for _, h := range s.hosts {
		if !s.isTroubled(h) && h.stopAt.IsZero() && !h.succeeds {
			calm = append(calm, h)
		}
	}
	if len(calm) == 0 {
		return
	}
	h := calm[s.rnd.Intn(len(calm))]
	if leader := s.group.leader(); leader != nil && s.rnd.Intn(3) == 0 && slices.Contains(calm, s.host(leader.id)) {
		h = s.host(leader.id)
	}
	kind := s.rnd.Intn(11)
	if kind >= 6 && kind <= 9 && h.disksLost > 0 && s.counts(h) {
		// The host that was replaced still counts, so this would be a second disk.
		kind = 2
	}
	h.countsUntil = s.now().Add(simCatchUp)
	second := time.Second
	switch kind {
	case 0:
		h.down, h.backAt = true, s.now().Add(s.duration(second/2, 8*second))
		s.group.replicas[h.id].leading = nil
		s.note("%s loses power", h.address)
	case 1:
		h.down, h.backAt = true, s.now().Add(3*simTick)
		s.group.replicas[h.id].leading = nil
		s.note("%s is killed", h.address)
	case 2:
		h.frozen = s.now().Add(s.duration(second/2, 6*second))
		s.note("%s freezes", h.address)
	case 3:
		h.slow = s.now().Add(s.duration(2*second, 6*second))
		s.note("%s has a slow disk", h.address)
	case 4:
		h.stalled = s.now().Add(s.duration(second, 5*second))
		s.note("%s has a full disk", h.address)
	case 5:
		h.cut = s.now().Add(s.duration(second, 6*second))
		s.note("%s is cut off", h.address)
	case 6:
		s.wipe(h)
	case 7:
		s.note("%s is gone for good", h.address)
		s.gone(h, s.duration(0, 3*second))
	case 8:
		s.replacePlanned(h)
	case 9:
		s.note("%s is gone", h.address)
		r := s.gone(h, s.duration(0, 3*second))
		if len(s.hosts)+len(s.returns) < 9 {
			s.returns = append(s.returns, lateReturn{s.now().Add(s.duration(3*second, 25*second)), r, s.rnd.Intn(2) == 0})
		}
	case 10:
		h.stopAt = s.now()
		h.onStop = func(h *host) { h.down, h.backAt = true, s.now().Add(s.duration(3*simTick, second)) }
	}
}

func (s *scenario) wipe(h *host) {
	s.note("%s loses its disk", h.address)
	delete(s.group.replicas, h.id)
	h.disksLost++
	h.id, h.down = 0, true
	h.backAt = s.now().Add(s.duration(3*simTick, 3*time.Second))
}

// replacePlanned starts a successor and later stops the host for good. The two count as one
// host, so that the next loss may come once the successor has had its time.
func (s *scenario) replacePlanned(old *host) {
	h := &host{address: s.newAddress(), id: s.nextID, succeeds: true}
	s.nextID++
	s.hosts = append(s.hosts, h)
	s.group.add(h.id, h.address)
	s.note("%s starts as the successor of %s", h.address, old.address)
	h.countsUntil, old.countsUntil = time.Time{}, s.now().Add(simCatchUp)
	old.stopAt = s.now().Add(s.duration(time.Second/2, 3*time.Second))
	old.onStop = func(old *host) {
		delete(s.group.replicas, old.id)
		s.hosts = slices.DeleteFunc(s.hosts, func(other *host) bool { return other == old })
		// The time of a removed host counts at its successor.
		h.countsUntil, h.extendedUntil = old.countsUntil, old.extendedUntil
		h.disksLost, h.succeeds = old.disksLost+1, false
	}
}

// split cuts the hosts into halves.
func (s *scenario) split() {
	order := s.rnd.Perm(len(s.hosts))
	clear(s.half)
	for i, j := range order {
		s.half[s.hosts[j].address] = i < len(order)/2
	}
	s.splitUntil = s.now().Add(s.duration(time.Second, 5*time.Second))
	s.note("split %v for %v", s.half, s.splitUntil.Sub(s.now()))
}

// overlap takes several hosts out at once, without the loss of a disk.
func (s *scenario) overlap() {
	all := s.rnd.Intn(2) == 0
	until := s.now().Add(s.duration(time.Second, 4*time.Second))
	for _, h := range s.hosts {
		if h.down || !all && s.rnd.Intn(2) == 0 {
			continue
		}
		if s.rnd.Intn(2) == 0 {
			h.frozen = until
			continue
		}
		h.down, h.backAt = true, until
		s.group.replicas[h.id].leading = nil
	}
	s.note("several hosts are out, all: %v", all)
}

// fail records the first violation.
func (s *scenario) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
		s.note("%s", s.violation)
	}
}

// check checks what must hold at each moment.
func (s *scenario) check() {
	hosts, disks := s.lost()
	newest := s.newest()
	if newest == nil {
		s.fail("no quorum is left for ever")
		return
	}
	members := newest.log.members
	exists := func(id uint64) bool { return s.group.replicas[id] != nil }
	further := s.losses - disks
	if hosts <= s.losses {
		further = s.losses - hosts
	}
	if left := margin(members, exists); left < further {
		s.fail("%d further disks may be lost, but a quorum survives the loss of %d", further, left)
	}
	if leader := s.group.leader(); leader != nil && leader.term >= newest.term && !leader.log.holds(s.group.acked) {
		s.fail("the leader lacks an acknowledged entry")
	}
	if s.now().Before(s.unsettledUntil) || hosts > s.losses {
		return
	}
	sound := func(id uint64) bool {
		h := s.host(id)
		return h != nil && s.runs(h) && !s.now().Before(h.cut)
	}
	if left := margin(members, sound); left < s.losses-hosts {
		s.fail("%d further hosts may be lost, but a quorum survives the loss of %d", s.losses-hosts, left)
	}
	if s.now().Sub(s.eventAt) < simCatchUp {
		return
	}
	leader := s.group.leader()
	if leader == nil || s.now().Sub(s.group.ackedAt) > time.Second {
		s.fail("no leader commits")
	} else if len(leader.log.members.GetOutgoing()) > 0 && leader.log.index-leader.log.change > 10 {
		s.fail("a replacement does not end")
	}
}

// newest returns the replica with the most recent log of those that could be elected if all
// hosts with their disks were back, nil if there is none.
func (s *scenario) newest() *replica {
	var best *replica
	for _, id := range s.group.ids() {
		r := s.group.replicas[id]
		votes := func(id uint64) bool {
			to := s.group.replicas[id]
			return to != nil && r.log.isAfter(to.log)
		}
		if mayLead(r) && majority(r.log.members, votes) && (best == nil || r.log.isAfter(best.log)) {
			best = r
		}
	}
	return best
}

// checkEnd checks the group after all troubles have ended.
func (s *scenario) checkEnd() {
	leader := s.group.leader()
	if leader == nil {
		s.fail("no leader at the end")
		return
	}
	ids := voters(leader.log.members)
	sound := 0
	for _, h := range s.hosts {
		if s.group.replicas[h.id] != nil {
			sound++
		}
	}
	left := margin(leader.log.members, func(id uint64) bool { return s.group.replicas[id] != nil })
	if len(ids)%2 == 0 && len(ids) != sound || left < (sound-1)/2 {
		s.fail("at the end %d hosts are sound, and the voters are %v", sound, ids)
	}
}

// Parts of a sequence: without troubles, with troubles, and until the check of the end.
const (
	warmUp   = 10 * time.Second
	length   = 40 * time.Second
	settling = 20 * time.Second
)

// run draws and plays a sequence.
func (s *scenario) run() {
	for s.now().Sub(s.start) < warmUp {
		s.step()
	}
	s.checkEnd()
	eager := []float64{0.02, 0.2, 1}[s.rnd.Intn(3)]
	splits := []float64{0, 0.01}[s.rnd.Intn(2)]
	overlaps := []float64{0, 0.003}[s.rnd.Intn(2)]
	s.eventAt = s.now()
	for s.now().Sub(s.start) < warmUp+length && s.violation == "" {
		s.step()
		s.check()
		hosts, disks := s.lost()
		switch {
		case hosts < s.losses && s.rnd.Float64() < eager:
			s.disturb()
		case hosts > s.losses && disks < s.losses && s.rnd.Float64() < 0.02:
			s.wipeAny()
		case !s.isSplit() && s.rnd.Float64() < splits:
			s.split()
		case s.rnd.Float64() < overlaps && !slices.ContainsFunc(s.hosts, func(h *host) bool { return !h.stopAt.IsZero() }):
			s.overlap()
		}
		s.count()
	}
	for end := s.now().Add(settling); s.now().Before(end) && s.violation == ""; {
		s.step()
		s.check()
	}
	s.checkEnd()
}

// wipeAny makes one host lose its disk while more hosts are out than tolerated.
func (s *scenario) wipeAny() {
	if h := s.hosts[s.rnd.Intn(len(s.hosts))]; h.id != 0 && h.stopAt.IsZero() {
		s.wipe(h)
		h.countsUntil = s.now().Add(simCatchUp)
	}
}

// TestQuorumSurvivesToleratedLosses guards against losses in turn that leave no quorum.
// KCW_SEED is the first seed and KCW_SEQUENCES the number of sequences.
func TestQuorumSurvivesToleratedLosses(t *testing.T) {
	first, sequences := setting(t, "KCW_SEED", 1), setting(t, "KCW_SEQUENCES", 500)
	failed := 0
	for seed := first; seed < first+sequences; seed++ {
		s := newScenario(seed)
		s.run()
		if s.violation == "" {
			continue
		}
		failed++
		if failed <= 3 {
			t.Errorf("KCW_SEED=%d: %d losses tolerated, violated: %s\n%s", seed, s.losses, s.violation, strings.Join(s.log, "\n"))
		}
	}
	t.Logf("%d of %d sequences violated a rule", failed, sequences)
}
