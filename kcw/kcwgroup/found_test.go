package kcwgroup

import (
	"fmt"
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

// TestAwaitedFounders checks for whom a founding waits: for identities, those of substitutes
// included, and then for confirmations.
func TestAwaitedFounders(t *testing.T) {
	founders := []*kcwpb.Member{{Name: "d1"}, {Name: "n2"}, {Name: "d3"}}
	f := newFoundingState(&kcwpb.Member{Id: 1, Name: "d1"}, founders, nil)
	substitute := foundingMessage(hintSubstitute, "n2", "z", 2)
	substitute.Membership.Members = append(substitute.Membership.Members, &kcwpb.Member{Id: 4, Name: "d4"})
	persisted := foundingMessage(hintPersisted, "d4", "z", 4)
	for _, test := range []struct {
		name    string
		message *kcwpb.Message
		want    string
	}{
		{"nothing heard", nil, "[n2 d3] []"},
		{"no substitute chosen", foundingMessage(hintSubstitute, "n2", "z", 2), "[n2 d3] []"},
		{"a substitute", substitute, "[d3] []"},
		{"an identity", foundingMessage(hintIdentity, "d3", "z", 3), "[] [d3 d4]"},
		{"a confirmation", persisted, "[] [d3]"},
	} {
		if test.message != nil {
			if test.message == persisted {
				persisted.Membership.Members = f.persisted
			}
			if err := f.handle(test.message, senderOf(test.message)); err != nil {
				t.Fatalf("%s: %v", test.name, err)
			}
		}
		if members, err := f.set(); err == nil && members != nil && f.persisted == nil {
			f.persisted, f.founders = members, members
		}
		unknown, unconfirmed := f.awaited()
		if got := fmt.Sprint(unknown, " ", unconfirmed); got != test.want {
			t.Errorf("%s: waits for %s, want %s", test.name, got, test.want)
		}
	}
}
