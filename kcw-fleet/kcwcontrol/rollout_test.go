package kcwcontrol

import (
	"testing"
	"time"
)

func TestRollout(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var r rollout
	for _, test := range []struct {
		name       string
		at         time.Duration
		version    uint64
		routers    map[string]contact
		behind     int
		isComplete bool
		isLate     bool
	}{
		{"no document", 0, 0, map[string]contact{"a": {}}, 0, false, false},
		{"no routers", 0, 1, nil, 0, false, false},
		{"all have it", time.Second, 1, map[string]contact{"a": {version: 1}, "b": {version: 1}}, 0, true, false},
		{"newer document", 2 * time.Second, 2, map[string]contact{"a": {version: 1}, "b": {version: 2}}, 1, false, false},
		{"one lacks it for long", 4 * time.Second, 2, map[string]contact{"a": {version: 1}, "b": {version: 2}}, 1, false, true},
		{"a router starts", 5 * time.Second, 2, map[string]contact{"a": {version: 2}, "b": {version: 1}, "c": {}}, 1, false, true},
		{"all have it late", 6 * time.Second, 2, map[string]contact{"a": {version: 2}, "c": {}}, 0, true, true},
	} {
		r.observe(test.version, test.routers, start.Add(test.at))
		if r.behind != test.behind || r.isComplete != test.isComplete || r.isLate != test.isLate {
			t.Errorf("%s: got %+v", test.name, r)
		}
	}
}
