package kcwgroup

import (
	"fmt"
	"slices"
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
			leader := c.leader()
			var want []string
			for i := range 50 {
				command := fmt.Sprintf("c%d", i)
				want = append(want, command)
				if _, err := leader.group.Propose(t.Context(), []byte(command)); err != nil {
					t.Fatal(err)
				}
			}
			for _, h := range c.running() {
				c.eventually("all commands at "+h.name, func() bool {
					return slices.Equal(h.machine.list(), want)
				})
			}
		})
	}
}
