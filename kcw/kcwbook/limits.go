package kcwbook

import "time"

// Bounds on the contents of commands.
const (
	// maxTokens is the largest amount of tokens in one field.
	maxTokens = 1_000_000_000_000_000
	// maxNameBytes bounds names of customers and routers.
	maxNameBytes = 63
	// maxIdentityBytes bounds identities of requests and changes.
	maxIdentityBytes = 256
	// maxTextBytes bounds zones, addresses and upstreams.
	maxTextBytes = 256
	// maxSpecBytes bounds the canonical form of a contract.
	maxSpecBytes = 1 << 20
	// maxKeys bounds the keys of one contract.
	maxKeys = 4096
	// maxLease bounds how long an open claim keeps others from adopting it.
	maxLease = 24 * time.Hour
	// digestSize is the size of a SHA-256 in bytes.
	digestSize = 32
)

// Bounds on the data that the book retains.
const (
	// repeatableRetention is how long a closed claim of a repeatable request is
	// retained, so that a retry is not billed again.
	repeatableRetention = time.Hour
	// nonRepeatableRetention is the same for a request that must run at most
	// once.
	nonRepeatableRetention = 30 * 24 * time.Hour
	// removalsPerCommand bounds the closed claims of each retention queue that one
	// command checks for removal.
	removalsPerCommand = 4
	// maxChanges bounds the changes retained for one customer.
	maxChanges = 1024
	// maxInternedNames bounds each table of the names that closed claims share.
	maxInternedNames = 4096
	// historySlack is how many entries the history may have beyond two for each
	// contract before it is compacted.
	historySlack = 1024
)

// maxTime is the latest time of a command in nanoseconds since the Unix epoch,
// with room for leases and retentions after it.
const maxTime = 8_000_000_000_000_000_000

// retryDelay is the delay after which a caller may retry a request that waits for
// other requests to end.
const retryDelay = time.Second

// maxProgressRetryDelay bounds the delay after which a caller may retry a request
// that is in progress at another router: the request may end, or the router's
// heartbeats may stop, long before the lease ends.
const maxProgressRetryDelay = 5 * time.Second
