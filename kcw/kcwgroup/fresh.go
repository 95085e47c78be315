package kcwgroup

import "time"

// Fresh reports whether the replica, as leader, has heard a quorum, or, as
// follower, its leader, within the election timeout. It reads the monotonic
// clock, so that a replica that was frozen or whose wall clock was set is not
// taken as fresh by mistake.
func (g *Group) Fresh() bool {
	heard := g.heard.Load()
	if heard == nil || heard.IsZero() {
		return false
	}
	return g.cfg.Now().Sub(*heard) <= g.cfg.Election
}

// publishHeard renews what Fresh goes by.
func (g *Group) publishHeard(heard time.Time) {
	g.heard.Store(&heard)
}
