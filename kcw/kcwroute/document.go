// Package kcwroute defines the configuration document of a fleet: routes by host
// and path prefix, the services behind them, teams with their keys and prepaid
// tokens, and limits on callers.
package kcwroute

import (
	"fmt"
	"strings"
	"time"
)

// Kind determines whether a route's requests may be repeated, and how they are answered.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a stream of events. They may be resumed at
	// another upstream if the route is resumable; otherwise they run at most once.
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

// Backend is one service of a route and its weight among the route's services.
type Backend struct {
	Service string
	Weight  int
}

// Route describes how the requests of a host whose paths have a given prefix are
// handled.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Backends []Backend
	// Timeout is the longest time that a request may go without an answer.
	// LatencyTarget is the intended time to an answer, or to the first event of a
	// stream, and GapTarget the intended longest time between two events.
	Timeout       time.Duration
	LatencyTarget time.Duration
	GapTarget     time.Duration
	// Priority is the rank; 0 is the highest.
	Priority int
	// MaxAttempts is the largest number of upstreams that one request is sent to.
	MaxAttempts int
	// Public routes require no key.
	Public bool
	// Generates marks a route whose requests carry a prompt and token counts.
	Generates bool
	// Resumable marks a route whose streams may be resumed at another upstream.
	Resumable bool
}

// MayRepeat reports whether a request to r may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service describes the upstreams of one service.
type Service struct {
	Name string
	// MaxConns is the largest number of connections to one upstream, over all callers.
	MaxConns int
	// Slots is the number of requests that one upstream of an engine runs
	// concurrently, or 0 for a plain service. EventTokens is the largest number of
	// tokens in one event.
	Slots       int
	EventTokens int64
	// ColdFor is how long an upstream stays cold after its start, or 0 if it never is cold.
	// ColdPerSecond is the number of requests per second that a cold upstream tolerates, or
	// 0 if there is no bound.
	ColdFor       time.Duration
	ColdPerSecond float64
}

// Team holds a team's keys, priority and prepaid tokens.
type Team struct {
	Name string
	Keys []string
	// Priority is the rank; 0 is the highest. It is valid only if HasPriority is
	// set.
	Priority    int
	HasPriority bool
	// Prepaid is the number of tokens that the team may use.
	Prepaid int64
}

// Limits holds the limits on the size and duration of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is one version of the configuration. It must not be changed after
// Index has been called.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// Teams hold the keys of callers. With no team no key is accepted, unless the document is
	// Keyless.
	Teams []Team
	// Keyless is set if requests need no key. Such a document has no teams.
	Keyless bool
	Limits  Limits

	hosts    map[string]map[string]*Route // by lowercase host, then by path prefix
	services map[string]*Service
	keys     map[string]*Team
}

// Error describes why a document is invalid.
type Error struct {
	Op     string
	Kind   ErrorKind
	Detail string
}

// ErrorKind classifies an Error.
type ErrorKind int

// Invalid is the kind of a document that violates a constraint.
const Invalid ErrorKind = 1

// Error implements the error interface.
func (e *Error) Error() string { return "kcwroute: " + e.Op + ": " + e.Detail }

// Index validates the document and builds the indexes that Match, Service and Team
// use. The error is an *Error that names the first invalid part.
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

// indexTeams validates the teams and indexes them by key.
func (d *Document) indexTeams() error {
	if d.Keyless && len(d.Teams) > 0 {
		return invalid("a keyless document has %d teams", len(d.Teams))
	}
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

// indexRoute validates r and indexes it by host and prefix.
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

// checkRoute returns an *Error if a field of r is invalid.
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

// Match returns the route of host with the longest prefix of path, or nil if there
// is none.
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

// Service returns the service with the given name, or nil if there is none.
func (d *Document) Service(name string) *Service { return d.services[name] }

// Team returns the team that owns key, or nil if there is none.
func (d *Document) Team(key string) *Team { return d.keys[key] }

// Authorize reports whether a request to r with the given key, empty if it has none, is allowed,
// and returns the team that it belongs to. The team is nil if r is public or d is keyless.
func (d *Document) Authorize(r *Route, key string) (team *Team, isAllowed bool) {
	if d.Keyless || r.Public {
		return nil, true
	}
	if key == "" {
		return nil, false
	}
	team = d.Team(key)
	return team, team != nil
}

// ChooseService returns one of r's services, chosen in proportion to their weights.
// The random number draw is uniform in [0, 1).
func (r *Route) ChooseService(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	remaining := draw * float64(total)
	for _, b := range r.Backends {
		remaining -= float64(b.Weight)
		if remaining < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// invalid returns an *Error of kind Invalid.
func invalid(format string, args ...any) *Error {
	return &Error{Op: "index", Kind: Invalid, Detail: fmt.Sprintf(format, args...)}
}
