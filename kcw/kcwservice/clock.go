package kcwservice

import (
	"sync"
	"time"
)

// stamps gives commands their times. They run with the monotonic clock from the
// newest time applied, or from the wall clock at the first stamp if that is
// later, so that a stepped wall clock neither ends leases early nor holds up
// the rate limits until real time has caught up.
type stamps struct {
	mu   sync.Mutex
	last time.Time
	at   int64
}

// next returns the time of a command at now, in nanoseconds since the Unix
// epoch. Applied is the newest time that was applied.
func (s *stamps) next(now time.Time, applied int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last.IsZero() {
		s.at = now.UnixNano()
	} else if elapsed := now.Sub(s.last); elapsed > 0 {
		s.at += int64(elapsed)
	}
	s.last = now
	s.at = max(s.at, applied)
	return s.at
}
