package kcwbook

import "time"

// Bounds of what commands may hold.
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

// Bounds of what the book keeps.
const (
	// repeatableRetention is how long a closed claim of a repeatable request is
	// kept, so that a retry is not billed again.
	repeatableRetention = time.Hour
	// onceRetention is the same for a request that runs at most once.
	onceRetention = 30 * 24 * time.Hour
	// removalsPerCommand bounds the closed claims of each sort that one command
	// looks at for removal.
	removalsPerCommand = 4
	// changesKept bounds the changes kept for one customer.
	changesKept = 1024
	// sharedNames bounds the names of upstreams whose bytes claims share.
	sharedNames = 4096
	// historySlack is how far the list of revisions may outgrow the contracts.
	historySlack = 1024
)

// maxTime is the latest time of a command in nanoseconds since the Unix epoch,
// with room for leases and retentions after it.
const maxTime = 8_000_000_000_000_000_000

// retryPause is when a caller may ask again for what depends on others.
const retryPause = time.Second

// progressPause is when at the latest a caller may ask again for a request that
// runs at another router: it may end, or its router may fall silent, long before
// the lease does.
const progressPause = 5 * time.Second
