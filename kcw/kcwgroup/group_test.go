package kcwgroup

import (
	"testing"
)

func TestCommandsReachAllReplicas(t *testing.T) {
	for _, test := range []struct {
		name     string
		replicas int
	}{
		{"one", 1},
		{"three", 3},
		{"five", 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, test.replicas, nil)
			c.startAll()
			commands := c.proposeMany("c", 50)
			for _, h := range c.running() {
				c.eventually("all commands at "+h.name, func() bool {
					return c.hasExactly(h, commands)
				})
			}
		})
	}
}
