// Package kcwroute holds the configuration document of a fleet: routes by host
// and path prefix, the services behind them, teams with their keys and prepaid
// tokens, and limits on callers.
package kcwroute

import (
	"fmt"
	"strings"
	"time"
)

// Kind says how a route's requests may be repeated and answered.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a stream of events; they may be resumed
	// at another upstream where the route says so, and otherwise run at most
	// once.
	Stream
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "Idempotent"
	case NonIdempotent:
		return "NonIdempotent"
	case Stream:
		return "Stream"
	}
	return "Unknown"
}

// Backend is one service of a route and its share of the requests.
type Backend struct {
	Service string
	Weight  int
}

// Route is one route.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Backends []Backend
	// Timeout is the longest that a request may be kept without an answer,
	// Target the time within which an answer, or the first event of a stream,
	// is on time, and Gap the longest pause between events that is.
	Timeout       time.Duration
	LatencyTarget time.Duration
	GapTarget     time.Duration
	// Priority is the rank, zero first.
	Priority int
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Generates marks requests that carry token counts and a prompt.
	Generates bool
	Resumable bool
}

// MayRepeat reports whether a request of r may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is one service.
type Service struct {
	Name string
	// MaxConns bounds the connections of all callers to one upstream.
	MaxConns int
	// Slots is how many requests one upstream of an engine runs at once, zero
	// for a plain service. EventTokens is the most tokens in one event.
	Slots       int
	EventTokens int64
}

// Team is one team.
type Team struct {
	Name string
	Keys []string
	// Priority is the rank, zero first; HasPriority says that there is one.
	Priority    int
	HasPriority bool
	// Prepaid is the tokens that the team may use.
	Prepaid int64
}

// Limits bounds what callers may send and how long they may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is one version of the configuration. It must not be changed once
// Index was called.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits

	hosts    map[string]map[string]*Route
	services map[string]*Service
	keys     map[string]*Team
}

// Error says what makes a document invalid.
type Error struct {
	Op     string
	Kind   ErrorKind
	Detail string
}

// ErrorKind classifies an Error.
type ErrorKind int

// Invalid means that a document breaks a rule.
const Invalid ErrorKind = 1

// Error describes the failure.
func (e *Error) Error() string { return "kcwroute: " + e.Op + ": " + e.Detail }

// Index checks the document and prepares it for Match and Team. The error is an
// *Error that names the first part that breaks a rule.
func (d *Document) Index() error {
	d.services = make(map[string]*Service, len(d.Services))
	for i := range d.Services {
		s := &d.Services[i]
		if s.Name == "" || d.services[s.Name] != nil {
			return invalid("service %q has no name of its own", s.Name)
		}
		d.services[s.Name] = s
	}
	if err := d.indexTeams(); err != nil {
		return err
	}
	d.hosts = make(map[string]map[string]*Route)
	for i := range d.Routes {
		if err := d.indexRoute(&d.Routes[i]); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) indexTeams() error {
	d.keys = make(map[string]*Team)
	names := make(map[string]bool, len(d.Teams))
	for i := range d.Teams {
		team := &d.Teams[i]
		if team.Name == "" || names[team.Name] {
			return invalid("team %q has no name of its own", team.Name)
		}
		if team.Prepaid < 0 {
			return invalid("team %q has negative prepaid tokens", team.Name)
		}
		names[team.Name] = true
		for _, key := range team.Keys {
			if other := d.keys[key]; other != nil && other != team {
				return invalid("teams %q and %q share a key", other.Name, team.Name)
			}
			d.keys[key] = team
		}
	}
	return nil
}

func (d *Document) indexRoute(r *Route) error {
	if err := d.checkRoute(r); err != nil {
		return err
	}
	host := strings.ToLower(r.Host)
	prefixes := d.hosts[host]
	if prefixes == nil {
		prefixes = make(map[string]*Route)
		d.hosts[host] = prefixes
	}
	if other := prefixes[r.Prefix]; other != nil {
		return invalid("routes %q and %q share host %q and prefix %q", other.Name, r.Name, r.Host, r.Prefix)
	}
	prefixes[r.Prefix] = r
	return nil
}

func (d *Document) checkRoute(r *Route) error {
	switch {
	case r.Host == "":
		return invalid("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("route %q has prefix %q, which does not begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return invalid("route %q has no timeout", r.Name)
	case r.Kind < Idempotent || r.Kind > Stream:
		return invalid("route %q is of no known kind", r.Name)
	case len(r.Backends) == 0:
		return invalid("route %q has no service", r.Name)
	}
	total := 0
	for _, b := range r.Backends {
		if d.services[b.Service] == nil {
			return invalid("route %q names the unknown service %q", r.Name, b.Service)
		}
		if b.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		total += b.Weight
	}
	if total == 0 {
		return invalid("the weights of route %q add up to zero", r.Name)
	}
	return nil
}

// Match returns the route with the longest prefix of path among those of host,
// nil if there is none.
func (d *Document) Match(host, path string) *Route {
	prefixes := d.hosts[strings.ToLower(host)]
	for end := len(path); end > 0 && prefixes != nil; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// Service returns the service of the name, nil if there is none.
func (d *Document) Service(name string) *Service { return d.services[name] }

// Team returns the team that holds key, nil if there is none.
func (d *Document) Team(key string) *Team { return d.keys[key] }

// ChooseService returns the service of r for draw, which is uniform in [0, 1).
func (r *Route) ChooseService(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	left := draw * float64(total)
	for _, b := range r.Backends {
		left -= float64(b.Weight)
		if left < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

func invalid(format string, args ...any) *Error {
	return &Error{Op: "index", Kind: Invalid, Detail: fmt.Sprintf(format, args...)}
}
