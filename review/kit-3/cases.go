package main

import (
	"errors"
	"fmt"
	"time"
)

// workers is the number of workers of the service.
const workers = 18

// stage is a fleet with its list, its workers and a configuration in force.
type stage struct {
	fleet *fleet
	list  *list
	pool  *pool
}

func (s *stage) close() {
	s.fleet.close()
	_ = s.list.server.Close()
}

// newStage starts the provider's list and the workers.
func newStage(r *record, seeds []int, crash crashKind) (*stage, error) {
	f, err := newFleet(r, seeds)
	if err != nil {
		return nil, err
	}
	s := &stage{fleet: f}
	if s.list, err = startList(f.list); err != nil {
		return nil, err
	}
	var addresses []string
	for i := range workers {
		addresses = append(addresses, fmt.Sprintf("%s%d:8080", f.network, 100+i))
	}
	if s.pool, err = startPool(r, s.list, crash, addresses); err != nil {
		return nil, err
	}
	return s, nil
}

// startServed starts the fleet, and waits until its routers serve.
func (s *stage) startServed() error {
	if err := s.fleet.startAll(); err != nil {
		return err
	}
	if _, err := s.fleet.put(7, 30*time.Second); err != nil {
		return err
	}
	return s.fleet.awaitReady(30 * time.Second)
}

const (
	// soundPause and badPause are the pauses between two prompts of a kind.
	soundPause = 50 * time.Millisecond
	badPause   = 400 * time.Millisecond
	// watched is how long prompts with a bad part are sent, and mostLate how many of them may
	// reach workers later than contact after the fifth crash.
	watched    = 45 * time.Second
	fifthCrash = 5
	mostLate   = 3
)

// soundParts are the shared parts of a sound prompt: the one of its kind, and a subject's.
func soundParts(n int) []string { return []string{"5c1e07a2:100", fmt.Sprintf("91bd%04x:100", n%16)} }

// playCrash crashes workers after the first event of an answer on a prompt with a part.
func playCrash(r *record, trouble bool) (bool, error) {
	return playBadPart(r, trouble, afterFirst, func(n int) []string { return append(soundParts(n), badPart+":100") })
}

// playNear is no case: it crashes workers before the first event, on a part behind two others, and
// shows that the fleet stops such prompts here.
func playNear(r *record, trouble bool) (bool, error) {
	return playBadPart(r, trouble, beforeFirst, func(n int) []string { return append(soundParts(n), badPart+":100") })
}

// soundFirst is the number of sound parts before the bad one.
const soundFirst = 18

// playParts crashes workers before the first event, on a part behind many others.
func playParts(r *record, trouble bool) (bool, error) {
	return playBadPart(r, trouble, beforeFirst, func(n int) []string { return append(manyParts(n), badPart+":100") })
}

// manyParts are the sound parts of a long prompt.
func manyParts(n int) []string {
	parts := soundParts(n)
	for i := len(parts); i < soundFirst; i++ {
		parts = append(parts, fmt.Sprintf("77aa%02x%02x:100", n%16, i))
	}
	return parts
}

const (
	// batch is the number of prompts with a bad part that a caller sends in parallel, and
	// batchPause the time between two such batches.
	batch      = 6
	batchPause = 4 * time.Second
)

// playBatches crashes workers before the first event, on prompts that come in batches.
func playBatches(r *record, trouble bool) (bool, error) {
	bad := func(n int) []string { return append(soundParts(n), badPart+":100") }
	return playPrompts(r, trouble, beforeFirst, func(c *client) { c.beginBatches("bad", batch, batchPause, bad) })
}

// playBadPart sends prompts with a bad part one after the other.
func playBadPart(r *record, trouble bool, crash crashKind, bad func(n int) []string) (bool, error) {
	return playPrompts(r, trouble, crash, func(c *client) { c.begin("bad", badPause, bad) })
}

// playPrompts sends sound prompts and those that beginBad begins, which have a bad part, and
// counts those of the latter that reach workers too late.
func playPrompts(r *record, trouble bool, crash crashKind, beginBad func(c *client)) (bool, error) {
	if !trouble {
		crash = never
	}
	s, err := newStage(r, []int{1, 3, 5}, crash)
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.startServed(); err != nil {
		return false, err
	}
	c := newClient(s.fleet)
	c.begin("sound", soundPause, soundParts)
	c.begin("sound long", badPause, manyParts)
	time.Sleep(contact)
	beginBad(c)
	time.Sleep(watched)
	c.end()
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	r.say("sound prompts by status: %v; long sound prompts: %v; prompts with the bad part: %v", c.counts("sound"), c.counts("sound long"), c.counts("bad"))
	if len(p.crashes) < fifthCrash {
		r.say("%d crashes", len(p.crashes))
		if trouble {
			return false, fmt.Errorf("%d crashes, %d are needed", len(p.crashes), fifthCrash)
		}
		if c.counts("bad")[200] == 0 {
			return false, errors.New("no prompt was served without the disruption")
		}
		return false, nil
	}
	bound := p.crashes[fifthCrash-1].Add(contact)
	late := 0
	for _, at := range p.arrivals {
		if at.After(bound) {
			late++
		}
	}
	r.say("%d crashes; %d prompts with the bad part reached workers later than %v after the fifth; %d is the most", len(p.crashes), late, contact, mostLate)
	return late > mostLate, nil
}

const (
	// lostAfter is when the seed without a disk loses power after the first start, and
	// darkFor how long.
	lostAfter = 500 * time.Millisecond
	darkFor   = 5 * time.Second
	// offered is how long the operator offers its first configuration.
	offered = 70 * time.Second
)

// playFounding takes away a seed without a disk soon after the first start.
func playFounding(r *record, trouble bool) (bool, error) {
	s, err := newStage(r, []int{1, 3, 6}, never)
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.fleet.startAll(); err != nil {
		return false, err
	}
	if trouble {
		seed := hosts[5]
		time.Sleep(lostAfter)
		s.fleet.kill(seed)
		time.Sleep(darkFor)
		for _, role := range []string{"control", "router"} {
			if err := s.fleet.start(seed, role, false); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(contact)
	took, err := s.fleet.put(7, offered)
	ready := 0
	for _, h := range hosts {
		if s.fleet.isReady(h.number) {
			ready++
		}
	}
	switch {
	case errors.Is(err, errNoAck):
		r.say("the first configuration is not acknowledged within %v, with all machines up; %d of %d routers are ready", offered, ready, len(hosts))
		return true, nil
	case err != nil:
		return false, err
	}
	r.say("the first configuration is acknowledged after %v", took.Round(time.Millisecond))
	return took > ackTime, nil
}

// asked is how long prompts are sent beside the entries of another writer.
const asked = 25 * time.Second

// playWriters lists entries of another writer before the proper ones.
func playWriters(r *record, trouble bool) (bool, error) {
	s, err := newStage(r, []int{1, 3, 5}, never)
	if err != nil {
		return false, err
	}
	defer s.close()
	if trouble {
		var others, proper []any
		for _, w := range s.pool.workers {
			other := w.entry()
			other.Service = "unnamed"
			others = append(others, other)
			proper = append(proper, w.entry())
		}
		s.list.replace(append(others, proper...)...)
	}
	if err := s.startServed(); err != nil {
		return false, err
	}
	c := newClient(s.fleet)
	c.begin("sound", soundPause, soundParts)
	time.Sleep(asked)
	c.end()
	counts := c.counts("sound")
	r.say("sound prompts by status: %v", counts)
	if !trouble && counts[200] == 0 {
		return false, errors.New("no prompt was served without the disruption")
	}
	return counts[200] == 0, nil
}
