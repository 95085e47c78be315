package kcwwallet_test

import (
	"testing"
	"time"
)

const (
	// warmupSeconds and measuredSeconds are the simulated times before and after a
	// failure.
	warmupSeconds   = 300
	measuredSeconds = 600
	// silentAfter is the time after which the ledger considers a router silent, in
	// seconds.
	silentAfter = 10
	// electionSeconds is how long no replica answers during a leader change, and
	// electionPeriodSeconds the time from one leader change to the next.
	electionSeconds       = 2
	electionPeriodSeconds = 60
)

// routerLoss stops the busiest router after five minutes, counts the requests of
// the next ten, and restarts the router. Callers use the other routers at once and
// retry the requests that were lost with it every second.
func (s *simulation) routerLoss(b *testing.B) {
	s.useGrantsOnly()
	for range warmupSeconds {
		s.runSecond()
	}
	s.resetCounts()
	s.stopped = s.routers[0]
	var running []run
	for _, r := range s.runs {
		if r.router == 0 {
			s.lost = append(s.lost, r)
			continue
		}
		running = append(running, r)
	}
	s.runs = running
	lostCount, notRepeatable, lastStarted := len(s.lost), 0, 0
	for _, r := range s.lost {
		if !r.claim.GetRepeatable() {
			notRepeatable++
		}
	}
	for i := range measuredSeconds {
		if i == silentAfter {
			s.world.silent = s.stopped
		}
		if s.retryLost() > 0 {
			lastStarted = i
		}
		s.runSecond()
	}
	b.ReportMetric(float64(lostCount), "died")
	b.ReportMetric(float64(notRepeatable), "died-not-repeatable")
	b.ReportMetric(float64(lostCount-len(s.lost)), "run-again")
	b.ReportMetric(float64(lastStarted), "s-until-last")
	s.world.silent, s.stopped = nil, nil
	s.routers[0].start()
	for range electionPeriodSeconds {
		s.world.advance(time.Second)
		s.routers[0].reconcile()
	}
}

// retryLost retries the lost requests and returns how many of them were started.
func (s *simulation) retryLost() int {
	var remaining []run
	for _, r := range s.lost {
		i := s.pick()
		claim, ok := s.open(i, r.claim.GetRequest(), r.claim.GetTokens(), r.claim.GetRepeatable())
		if !ok {
			remaining = append(remaining, r)
			continue
		}
		s.runs = append(s.runs, run{router: i, claim: claim, tokens: r.tokens, until: s.world.now.Add(time.Second)})
	}
	started := len(s.lost) - len(remaining)
	s.lost = remaining
	return started
}

// leaderChanges makes the ledger unavailable for two seconds of every minute after
// the first five, ten times, and counts the requests of these ten minutes. No
// opening waits for the new leader.
func (s *simulation) leaderChanges(*testing.B) {
	s.useGrantsOnly()
	for range warmupSeconds {
		s.runSecond()
	}
	s.resetCounts()
	for i := range measuredSeconds {
		for _, r := range s.routers {
			r.link.cut = i%electionPeriodSeconds < electionSeconds
		}
		s.runSecond()
	}
}
