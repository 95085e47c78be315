package kcwroute_test

import (
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwroute"
)

func route(name, prefix string) kcwroute.Route {
	return kcwroute.Route{
		Name: name, Host: "a.example", Prefix: prefix, Kind: kcwroute.Idempotent, Timeout: time.Second,
		Backends: []kcwroute.Backend{{Service: "s", Weight: 1}},
	}
}

func document(modify func(*kcwroute.Document)) *kcwroute.Document {
	d := &kcwroute.Document{
		Version:  1,
		Services: []kcwroute.Service{{Name: "s"}, {Name: "t"}},
		Routes:   []kcwroute.Route{route("root", "/"), route("long", "/x/y/"), route("short", "/x/")},
		Teams:    []kcwroute.Team{{Name: "one", Keys: []string{"k1"}}, {Name: "two", Keys: []string{"k2"}}},
	}
	if modify != nil {
		modify(d)
	}
	return d
}

func TestMatch(t *testing.T) {
	d := document(nil)
	if err := d.Index(); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.example", "/x/y/", "long"},
		{"a.example", "/x/yz", "short"},
		{"a.example", "/x", "root"},
		{"a.example", "/", "root"},
		{"b.example", "/x/", ""},
		{"a.example", "", ""},
		{"a.example", "x/y/", ""},
	} {
		got := ""
		if r := d.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("%s%s: got route %q, want %q", test.host, test.path, got, test.want)
		}
	}
	if team := d.Team("k2"); team == nil || team.Name != "two" {
		t.Errorf("key k2 belongs to %v, want team two", team)
	}
	if d.Team("k3") != nil {
		t.Error("an unknown key has a team")
	}
}

func TestIndexRefuses(t *testing.T) {
	for _, test := range []struct {
		name   string
		modify func(*kcwroute.Document)
		text   string
	}{
		{"unknown service", func(d *kcwroute.Document) { d.Routes[0].Backends[0].Service = "u" }, `unknown service "u"`},
		{"same host and prefix", func(d *kcwroute.Document) { d.Routes[1].Prefix = "/x/" }, "share host"},
		{"no weight", func(d *kcwroute.Document) { d.Routes[0].Backends[0].Weight = 0 }, "add up to zero"},
		{"negative weight", func(d *kcwroute.Document) { d.Routes[0].Backends[0].Weight = -1 }, "negative weight"},
		{"no timeout", func(d *kcwroute.Document) { d.Routes[0].Timeout = 0 }, "no timeout"},
		{"no kind", func(d *kcwroute.Document) { d.Routes[0].Kind = 0 }, "no known kind"},
		{"prefix", func(d *kcwroute.Document) { d.Routes[0].Prefix = "/x" }, "slash"},
		{"shared key", func(d *kcwroute.Document) { d.Teams[1].Keys[0] = "k1" }, "share a key"},
		{"team twice", func(d *kcwroute.Document) { d.Teams[1].Name = "one" }, "name of its own"},
		{"service twice", func(d *kcwroute.Document) { d.Services[1].Name = "s" }, "name of its own"},
		{"keyless with teams", func(d *kcwroute.Document) { d.Keyless = true }, "keyless"},
		{"negative budget", func(d *kcwroute.Document) { d.Teams[0].Prepaid = -1 }, "negative prepaid"},
	} {
		err := document(test.modify).Index()
		if err == nil || !strings.Contains(err.Error(), test.text) {
			t.Errorf("%s: got error %v, want %q in it", test.name, err, test.text)
		}
	}
}

// TestAuthorize guards against a document without teams that accepts every key.
func TestAuthorize(t *testing.T) {
	withoutTeams := func(d *kcwroute.Document) { d.Teams = nil }
	for _, test := range []struct {
		name     string
		modify   func(*kcwroute.Document)
		isPublic bool
		key      string
		team     string
		want     bool
	}{
		{"own key", nil, false, "k2", "two", true},
		{"unknown key", nil, false, "k3", "", false},
		{"no key", nil, false, "", "", false},
		{"no key, and a team with an empty one", func(d *kcwroute.Document) { d.Teams[0].Keys[0] = "" }, false, "", "", false},
		{"public, own key", nil, true, "k2", "", true},
		{"public, no key", nil, true, "", "", true},
		{"no teams, a former key", withoutTeams, false, "k2", "", false},
		{"no teams, no key", withoutTeams, false, "", "", false},
		{"no teams, public", withoutTeams, true, "", "", true},
		{"keyless, a key", func(d *kcwroute.Document) { d.Teams, d.Keyless = nil, true }, false, "k3", "", true},
		{"keyless, no key", func(d *kcwroute.Document) { d.Teams, d.Keyless = nil, true }, false, "", "", true},
	} {
		d := document(test.modify)
		d.Routes[0].Public = test.isPublic
		if err := d.Index(); err != nil {
			t.Errorf("%s: %v", test.name, err)
			continue
		}
		team, got := d.Authorize(&d.Routes[0], test.key)
		name := ""
		if team != nil {
			name = team.Name
		}
		if got != test.want || name != test.team {
			t.Errorf("%s: got %v and team %q, want %v and %q", test.name, got, name, test.want, test.team)
		}
	}
}

func TestSplit(t *testing.T) {
	r := kcwroute.Route{Backends: []kcwroute.Backend{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}}
	for _, test := range []struct {
		draw float64
		want string
	}{{0, "a"}, {0.89, "a"}, {0.9, "b"}, {0.999, "b"}} {
		if got := r.ChooseService(test.draw); got != test.want {
			t.Errorf("draw %v: got %q, want %q", test.draw, got, test.want)
		}
	}
}
