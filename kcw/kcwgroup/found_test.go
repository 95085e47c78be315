package kcwgroup

import (
	"sync/atomic"
	"testing"

	"kingcupwick.example/kcw/kcwpb"
)

// TestFounderKeepsEntriesBeforeItsConfirmations guards against a founder that has acknowledged
// entries of the group that it founds and drops them when the last confirmation comes.
func TestFounderKeepsEntriesBeforeItsConfirmations(t *testing.T) {
	var isCut atomic.Bool
	isCut.Store(true)
	c := newCluster(t, 3, nil)
	c.configure = func(cfg *Config) {
		send := cfg.Send
		cfg.Send = func(to *kcwpb.Member, msgs []*kcwpb.Message) {
			for _, m := range msgs {
				isConfirmation := m.Kind == foundKind && m.Hint == hintPersisted
				if !isCut.Load() || to.Name != "h3" || !isConfirmation {
					send(to, []*kcwpb.Message{m})
				}
			}
		}
	}
	for _, name := range []string{"h1", "h2", "h3"} {
		c.start(name, true)
	}
	commands := c.proposeMany("a", 3)
	leader := c.leader().name
	behind := map[string]string{"h1": "h2", "h2": "h1"}[leader]
	c.isolate(behind)
	// From here on h3 must acknowledge each entry.
	commands = append(commands, c.proposeMany("b", 20)...)
	isCut.Store(false)
	c.reconnect(behind)
	c.eventually("end of the founding", func() bool { return c.hosts["h3"].group.Status().GetRole() != "founding" })
	c.stop(leader, true)
	commands = append(commands, c.proposeMany("c", 3)...)
	c.awaitCommands(c.hosts["h3"], commands)
	c.awaitCommands(c.hosts[behind], commands)
}
