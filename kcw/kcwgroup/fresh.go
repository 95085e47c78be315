package kcwgroup

import "time"

// Fresh reports whether the replica's last contact with a quorum, if it is the
// leader, or otherwise with the leader, was within the election timeout. It uses
// the monotonic clock, so that setting the wall clock or suspending the process
// does not make old contact appear recent.
func (g *Group) Fresh() bool {
	contact := g.lastContact.Load()
	if contact == nil || contact.IsZero() {
		return false
	}
	return g.cfg.Now().Sub(*contact) <= g.cfg.Election
}

// publishContact sets the time of the last contact, which Fresh reads.
func (g *Group) publishContact(contact time.Time) {
	g.lastContact.Store(&contact)
}
