package kcwroster

import "time"

// maxShareAge is the age up to which a load report counts for Excess. A router among a hundred
// gets a response of the same upstream every few seconds.
const maxShareAge = 5 * time.Second

// Excess returns the ratio of the requests that this router has at upstreams to the mean of the
// given number of routers, zero if it is not known. It compares them with what the upstreams
// report about all routers.
func (r *Roster) Excess(routers int) float64 {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	own, all, reported := 0, 0, 0
	for _, u := range r.byID {
		if u.load.Slots <= 0 || now.Sub(u.loadAt) > maxShareAge {
			continue
		}
		reported++
		own += u.inFlight
		all += u.load.Running + u.load.Waiting
	}
	// With fewer reports or requests the ratio would be mostly chance.
	const minReported, minOwn = 4, 4
	if routers < 2 || reported < minReported || own < minOwn || all == 0 {
		return 0
	}
	return float64(own) * float64(routers) / float64(max(all, own))
}
