package kcwcontrol

import (
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwuptime"
)

// stepTolerance is how far the wall clock may drift from the uptime between two stamps
// without counting as a step.
const stepTolerance = 100 * time.Millisecond

// stamper stamps reports with this host's wall clock and uptime.
type stamper struct {
	process uint64
	uptime  func() time.Duration
	now     func() time.Time

	mu sync.Mutex
	// offset is the wall clock minus the uptime at the last stamp.
	offset time.Duration
	// steps counts the steps of the wall clock. acknowledged is how many of them are
	// covered by a committed stamp.
	steps, acknowledged int
}

// newStamper returns a stamper. The error is an *kcwuptime.Error.
func newStamper() (*stamper, error) {
	clock, err := kcwuptime.New()
	if err != nil {
		return nil, err
	}
	s := &stamper{process: rand.Uint64(), uptime: clock.Now, now: time.Now}
	s.offset = time.Duration(s.now().UnixNano()) - s.uptime()
	return s, nil
}

// stamp returns the current clocks and the number of steps that the stamp covers.
func (s *stamper) stamp() (stamp *kcwpb.LeaderStamp, steps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wall, up := time.Duration(s.now().UnixNano()), s.uptime()
	offset := wall - up
	if step := offset - s.offset; step.Abs() > stepTolerance {
		klog.InfoS("Wall clock stepped", "By", step.String())
		s.steps++
	}
	s.offset = offset
	return &kcwpb.LeaderStamp{Process: s.process, Uptime: int64(up), Wall: int64(wall), Stepped: s.steps > s.acknowledged}, s.steps
}

// acknowledge records that a stamp that covers the given number of steps has been
// committed.
func (s *stamper) acknowledge(steps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acknowledged = max(s.acknowledged, steps)
}
