package kcwgroup

import "time"

// Fresh reports whether the replica's last contact with a quorum, if it is the
// leader, or otherwise with the leader, was within the election timeout. It uses
// the monotonic clock, so that setting the wall clock or suspending the process
// does not make old contact appear recent.
func (g *Group) Fresh() bool {
	age, found := g.ContactAge()
	return found && age <= g.cfg.Election
}

// ContactAge returns the time since the replica's last contact with a quorum, if it is the
// leader, or otherwise with the leader, and whether there was any. It uses the monotonic
// clock, as Fresh does.
func (g *Group) ContactAge() (age time.Duration, found bool) {
	contact := g.lastContact.Load()
	if contact == nil || contact.IsZero() {
		return 0, false
	}
	return g.cfg.Now().Sub(*contact), true
}

// publishContact sets the time of the last contact, which Fresh reads.
func (g *Group) publishContact(contact time.Time) {
	g.lastContact.Store(&contact)
}
