// Package kcwpermit decides how many requests each router may send to an upstream with a
// rate limit, so that all routers together keep to the limit (distributed rate limiting;
// Raghavan et al., Cloud Control with Distributed Rate Limiting, SIGCOMM 2007).
//
// The load that it answers is a few requests per second at each of many upstreams, from up
// to hundreds of routers whose demand differs and changes. A fixed share of such a limit
// would be a request in minutes. So one Issuer, at the leader of the core, runs a token
// bucket for each upstream and issues permits, each for one request. The Stock of a router
// decides for which requests it asks for one, holds permits that were issued with a report,
// and lets requests wait that can go nowhere else. A permit that is not used in time is
// void, and one that is lost in transit was issued all the same, so that no fault and no
// message that is late or lost lets the routers exceed a limit.
//
// A limit counts requests and not their work. Where other upstreams could serve a request,
// only the largest get permits, as many as there are, so that the other upstreams get the
// least work. The smaller of these get only permits that would otherwise be lost soon.
//
// Routers that get no answer from the core use a part of the limit, aloneFraction, that
// each divides by the number of routers. The Issuer holds back the parts of the routers
// that have stopped reporting.
//
// A limit with a Most bounds the arrivals in any one second, as an upstream needs that has just
// started. Its permits must be used at once, its buckets are small, and the part of routers
// without answers from the core is so low that they exceed the bound by chance once in many
// years.
//
// The package does no I/O and reads no clock. Its times must advance while a host is
// suspended, or permits would outlast a suspension.
package kcwpermit

import "time"

const (
	// validity is how long a router may use a permit, from when it sent the report that
	// the permit answers. It spans several reports. A router that gets no answer for as
	// long has no permits left.
	validity = 1500 * time.Millisecond
	// burst is the time for which the unused permits of an upstream accumulate, beside one
	// and up to minCapacity at least: limits far below one per second would hardly be used
	// if their permits had to be asked for at the moment at which they become available.
	burst       = time.Second
	minCapacity = 2
	// maxSpare is the largest part of a bucket that a request leaves to others. Tokens above
	// it may be taken by any, before the bucket is full and further tokens are lost.
	maxSpare = 0.7
	// probeAfter is the age of an upstream's last answer at which a permit is issued as a
	// probe.
	probeAfter = 5 * time.Second
	// silentAfter is the time without a report or an answer after which a router counts as
	// cut off from the core. rememberFor is how long the core counts it from its last
	// report.
	silentAfter = time.Second
	rememberFor = time.Minute
	// aloneFraction is the fraction of a limit that all routers together would use if none
	// reached the core. They are not coordinated then, and their sum varies by chance.
	aloneFraction = 0.7
)

// NoticeSpare in place of the part of the permits that is left to others means that the router
// asks for no permit: it tells the core that the upstreams had an outage, so that they may be
// cold when they come back.
const NoticeSpare = 2

// MaxUpstreams bounds the upstreams in one request for a permit, and MaxPermits the permits
// that a router gets for a service with one report.
const (
	MaxUpstreams = 16
	MaxPermits   = 256
)
