package kcwcontrol

import (
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwuptime"
)

// stepTolerance is by how much the time of day may drift from the uptime between two
// stamps and still count as not set.
const stepTolerance = 100 * time.Millisecond

// stamper stamps reports with the clocks of this host.
type stamper struct {
	process uint64
	uptime  func() time.Duration
	now     func() time.Time

	mu sync.Mutex
	// drift is the time of day less the uptime at the last stamp.
	drift time.Duration
	// steps counts how often the time of day was set, known the steps of which the
	// core knows.
	steps, known int
}

// newStamper returns a stamper. The error is an *kcwuptime.Error.
func newStamper() (*stamper, error) {
	clock, err := kcwuptime.New()
	if err != nil {
		return nil, err
	}
	s := &stamper{process: rand.Uint64(), uptime: clock.Now, now: time.Now}
	s.drift = time.Duration(s.now().UnixNano()) - s.uptime()
	return s, nil
}

// stamp returns the clocks at this moment, and the steps that it tells of.
func (s *stamper) stamp() (stamp *kcwpb.LeaderStamp, steps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wall, up := time.Duration(s.now().UnixNano()), s.uptime()
	drift := wall - up
	if moved := drift - s.drift; moved.Abs() > stepTolerance {
		klog.InfoS("Time of day was set", "By", moved.String())
		s.steps++
	}
	s.drift = drift
	return &kcwpb.LeaderStamp{Process: s.process, Uptime: int64(up), Wall: int64(wall), Stepped: s.steps > s.known}, s.steps
}

// told notes that the core knows of so many steps.
func (s *stamper) told(steps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = max(s.known, steps)
}
