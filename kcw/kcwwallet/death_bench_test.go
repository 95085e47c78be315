package kcwwallet_test

import (
	"testing"
	"time"
)

const (
	// drillWarm and drillLasts are the seconds before and after a failure.
	drillWarm  = 300
	drillLasts = 600
	// silentAfter is the setting of the ledger of that name, in seconds.
	silentAfter = 10
	// electionSeconds is how long no replica answers at a leader change, and
	// electionEvery the time from one to the next, in seconds.
	electionSeconds = 2
	electionEvery   = 60
)

// death kills the busiest router after five minutes, counts the requests of the
// next ten, and has it come back. Callers go to the other routers at once and ask
// again each second for the requests that died with it.
func (d *drill) death(b *testing.B) {
	d.hide()
	for range drillWarm {
		d.second()
	}
	d.count()
	d.dead = d.routers[0]
	var left []run
	for _, r := range d.runs {
		if r.router == 0 {
			d.lost = append(d.lost, r)
			continue
		}
		left = append(left, r)
	}
	d.runs = left
	died, once, waited := len(d.lost), 0, 0
	for _, r := range d.lost {
		if !r.claim.GetRepeatable() {
			once++
		}
	}
	for i := range drillLasts {
		if i == silentAfter {
			d.world.silent = d.dead
		}
		if d.again() > 0 {
			waited = i
		}
		d.second()
	}
	b.ReportMetric(float64(died), "died")
	b.ReportMetric(float64(once), "died-not-repeatable")
	b.ReportMetric(float64(died-len(d.lost)), "run-again")
	b.ReportMetric(float64(waited), "s-until-last")
	d.world.silent, d.dead = nil, nil
	d.routers[0].start()
	for range electionEvery {
		d.world.pass(time.Second)
		d.routers[0].tend()
	}
}

// again asks once more for the requests that died, and returns how many run now.
func (d *drill) again() int {
	var left []run
	for _, r := range d.lost {
		i := d.pick()
		claim, ok := d.open(i, r.claim.GetRequest(), r.claim.GetTokens(), r.claim.GetRepeatable())
		if !ok {
			left = append(left, r)
			continue
		}
		d.runs = append(d.runs, run{router: i, claim: claim, tokens: r.tokens, until: d.world.now.Add(time.Second)})
	}
	started := len(d.lost) - len(left)
	d.lost = left
	return started
}

// leaderChanges has the ledger silent for two seconds of each minute, ten times,
// after five minutes, and counts the requests of these ten minutes. No opening
// waits for the new leader.
func (d *drill) leaderChanges(*testing.B) {
	d.hide()
	for range drillWarm {
		d.second()
	}
	d.count()
	for i := range drillLasts {
		for _, r := range d.routers {
			r.link.cut = i%electionEvery < electionSeconds
		}
		d.second()
	}
}
