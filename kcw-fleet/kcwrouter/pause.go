package kcwrouter

import "time"

// fleetInterval is the mean time between two reports of the whole fleet while the core does not
// answer. A core that can't answer the usual number of reports can answer these, and then all.
const fleetInterval = 2500 * time.Microsecond

// freeFailures is the number of reports in a row that may fail before the pause grows. It covers
// a report to a leader that has been lost.
const freeFailures = 1

// reportPause returns the mean pause before the next report of one of the given number of
// routers, after as many reports in a row as failures were not answered.
func reportPause(interval time.Duration, failures, routers int) time.Duration {
	longest := max(interval, time.Duration(routers)*fleetInterval)
	pause := interval
	for range failures - freeFailures {
		if pause >= longest {
			break
		}
		pause *= 2
	}
	return min(pause, longest)
}
