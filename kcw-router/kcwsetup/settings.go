// Package kcwsetup holds the settings file of a router.
package kcwsetup

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwgateway"
	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwserve"
	"kingcupwick.example/kcw/kcwsettings"
)

// Settings holds the contents of a router's INI file.
type Settings struct {
	Host      hostSettings
	Ledger    ledgerSettings
	Keys      keySettings
	Grants    grantSettings
	Limits    limitSettings
	Deadlines deadlineSettings
	Answers   answerSettings
	Engine    engineSettings
	Upstream  map[string]Upstream `setting:"required"`
}

// hostSettings identifies the router and the host on which it runs.
type hostSettings struct {
	// Name is the router's own name. It must stay the same across restarts.
	Name string `setting:"required"`
	Zone string `setting:"required"`
	// Address serves callers, InternalAddress other routers, and AdminAddress
	// health, readiness, metrics and the state dump.
	Address         netip.AddrPort `setting:"required"`
	InternalAddress netip.AddrPort `setting:"required"`
	AdminAddress    netip.AddrPort `setting:"required"`
	// Folder holds the router's own state. It is empty on a host without a disk.
	Folder   string
	LogLevel string `default:"info" setting:"oneof=error|warning|info|debug|trace"`
	// DrainTime is how long a stopping router still accepts requests while it
	// reports that it isn't ready, so that the load balancer removes it first.
	DrainTime time.Duration `default:"5s" setting:"min=0s,max=10m"`
	// StopTimeout bounds the wait for requests in flight during a graceful shutdown.
	StopTimeout time.Duration `default:"15m" setting:"min=100ms,max=24h"`
	// MemoryMB is the memory that the process may use, in MiB. Zero selects half of the machine's
	// memory. MaxDescriptors is the number of files that the process may have open, sockets
	// included. Zero selects the limit that the process has. The bounds of clients are fractions
	// of both.
	MemoryMB       float64 `default:"0" setting:"min=0,max=1048576"`
	MaxDescriptors int     `default:"0" setting:"min=0,max=10000000"`
}

// ledgerSettings configures the client of the ledger.
type ledgerSettings struct {
	Addresses []netip.AddrPort `setting:"required"`
	// MaxContracts bounds the contracts kept in memory.
	MaxContracts int `default:"4096" setting:"min=1,max=1000000"`
}

// keySettings holds the paths of the key files.
type keySettings struct {
	// RouterKeyFile holds the key with which routers authenticate to the ledger
	// and to each other.
	RouterKeyFile string `setting:"required"`
	// OperatorKeyFile holds the key for the state dump. If it is empty, the dump
	// is refused.
	OperatorKeyFile string
}

// grantSettings configures how the router serves requests from grants while it
// can't reach the ledger. Grants require Host.Folder.
type grantSettings struct {
	// Endurance is how long the grants should cover the router's demand without
	// the ledger. Zero disables grants.
	Endurance time.Duration `default:"1m" setting:"min=0s,max=24h"`
	// Divisor bounds the grant of one router to a budget's free tokens divided
	// by it.
	Divisor int64 `default:"40" setting:"min=1,max=1000000"`
	// IdleAfter is how long a grant is kept without demand.
	IdleAfter time.Duration `default:"10m" setting:"min=1s,max=24h"`
	// LedgerDeadline bounds the wait for the ledger before a grant is used.
	LedgerDeadline time.Duration `default:"300ms" setting:"min=1ms,max=1m"`
	// LedgerPatience bounds the wait for the ledger if no grant covers the request.
	// Once the ledger has not answered for this long, such requests are refused at
	// once. It must exceed the duration of a leader election.
	LedgerPatience time.Duration `default:"1s" setting:"min=1ms,max=1m"`
	// Routers is the number of routers that share the limits of each contract
	// while the ledger can't be reached, and the capacity of the upstreams until
	// the ledger reports a number. Rank is this router's zero-based position among
	// them.
	Routers int `default:"10" setting:"min=1,max=100000"`
	Rank    int `default:"0" setting:"min=0,max=99999"`
}

// limitSettings bounds the memory, queues and attempts of one router.
type limitSettings struct {
	// MaxBodyBytes bounds the body of a request, MaxAnswerBytes an answer that is
	// not a stream, and MaxEventBytes one event of a stream.
	MaxBodyBytes   int64 `default:"4194304" setting:"min=1024,max=1073741824"`
	MaxAnswerBytes int64 `default:"16777216" setting:"min=1024,max=1073741824"`
	MaxEventBytes  int   `default:"1048576" setting:"min=1024,max=1073741824"`
	// QueueCapacity bounds the requests queued for a service. UpstreamCapacity is
	// the number of concurrent requests that an upstream is assumed to take until
	// it reports its capacity.
	QueueCapacity    int `default:"1000" setting:"min=1,max=1000000"`
	UpstreamCapacity int `default:"16" setting:"min=1,max=100000"`
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int `default:"3" setting:"min=1,max=10"`
	// FirstRetries is the initial retry budget of each service, available before
	// its requests have earned any retries.
	FirstRetries int `default:"10" setting:"min=0,max=10"`
}

// deadlineSettings bounds each wait of a request, and configures the load reports.
type deadlineSettings struct {
	// Open bounds the opening of a claim, and Settle the time that an answer waits
	// for its bill to become durable.
	Open   time.Duration `default:"3s" setting:"min=1ms,max=1m"`
	Settle time.Duration `default:"10s" setting:"min=1ms,max=10m"`
	// FirstByte bounds the wait for the start of a stream, Answer the wait for an
	// answer that is not a stream, and Progress the wait for the next bytes of an
	// answer.
	FirstByte time.Duration `default:"1m" setting:"min=1ms,max=1h"`
	Answer    time.Duration `default:"10m" setting:"min=1ms,max=24h"`
	Progress  time.Duration `default:"30s" setting:"min=1ms,max=1h"`
	// Write bounds one write to a caller, and Read the reading of a request's body.
	Write time.Duration `default:"30s" setting:"min=1s,max=1h"`
	Read  time.Duration `default:"30s" setting:"min=1s,max=1h"`
	// Poll is the time between two load reports. Silence is the maximum age of the
	// last load report of an upstream that gets requests.
	Poll    time.Duration `default:"1s" setting:"min=10ms,max=1m"`
	Silence time.Duration `default:"3s" setting:"min=100ms,max=10m"`
}

// answerSettings bounds the finished answers kept for retries.
type answerSettings struct {
	MaxBytes   int64         `default:"67108864" setting:"min=1024,max=1099511627776"`
	MaxAnswers int           `default:"10000" setting:"min=1,max=10000000"`
	Retention  time.Duration `default:"10m" setting:"min=1s,max=24h"`
}

// engineSettings configures which extensions of the model engines are used.
type engineSettings struct {
	// ContinuousUsage requests the token usage with each event of a stream.
	ContinuousUsage bool
	// Priority sends the priority of each request. The lowest number is served
	// first.
	Priority bool
	// PrefixYield is the width of a range of utilizations: within it, the preference
	// for an engine that has cached a prompt's prefix falls to zero as the
	// utilization rises. Use 0 with tens of engines and 0.4 with hundreds.
	PrefixYield float64 `default:"0" setting:"min=0,max=1"`
}

// Upstream is one upstream. The label of its section is its name.
type Upstream struct {
	Service string         `setting:"required"`
	Zone    string         `setting:"required"`
	Address netip.AddrPort `setting:"required"`
	// KeyFile holds the key that the upstream requires. It is empty if there is
	// none.
	KeyFile string
}

// Keys holds the keys read from the key files.
type Keys struct {
	Router, Operator string
	// Upstreams is indexed by upstream name.
	Upstreams map[string]string
}

// Load reads and checks the settings at path. The error names every problem.
func Load(path string) (*Settings, error) {
	s := &Settings{}
	if err := kcwsettings.Load(path, s); err != nil {
		return nil, err
	}
	if err := s.checkMemory(); err != nil {
		return nil, eris.Wrap(err, path)
	}
	return s, nil
}

const (
	// requestMemory is the fraction of the memory that bodies and answers of requests may hold
	// together.
	requestMemory = 0.3
	// maxAnswerMemory is the largest fraction that stored answers may hold.
	maxAnswerMemory = 0.25
)

// Process returns what the process may use.
func (s *Settings) Process() kcwserve.Host {
	return kcwserve.Host{MemoryMB: s.Host.MemoryMB, MaxDescriptors: s.Host.MaxDescriptors}
}

// RequestBytes returns the memory in bytes that bodies and answers of requests may hold together.
func (s *Settings) RequestBytes() int64 { return s.Process().Bytes(requestMemory) }

// checkMemory returns an error if a request inside the limits has no room in the memory of the
// process, or if the stored answers take too much of a MemoryMB that is set.
func (s *Settings) checkMemory() error {
	if need := kcwgateway.BodyCopies * s.Limits.MaxBodyBytes; need > s.RequestBytes() {
		return eris.Errorf("[Host] MemoryMB = %v is too little for [Limits] MaxBodyBytes = %d: one request may need %d bytes, and all may use %d, %v of the memory",
			s.Host.MemoryMB, s.Limits.MaxBodyBytes, need, s.RequestBytes(), requestMemory)
	}
	if most := s.Process().Bytes(maxAnswerMemory); s.Host.MemoryMB > 0 && s.Answers.MaxBytes > most {
		return eris.Errorf("[Host] MemoryMB = %v is too little for [Answers] MaxBytes = %d: stored answers may use %d bytes, %v of the memory",
			s.Host.MemoryMB, s.Answers.MaxBytes, most, maxAnswerMemory)
	}
	return nil
}

// LoadKeys reads the key files. The error names the setting of the file that can't
// be read.
func (s *Settings) LoadKeys() (Keys, error) {
	k := Keys{Upstreams: map[string]string{}}
	var err error
	if k.Router, err = kcwkeyring.ReadKey(s.Keys.RouterKeyFile); err != nil {
		return Keys{}, eris.Wrap(err, "RouterKeyFile")
	}
	if s.Keys.OperatorKeyFile != "" {
		if k.Operator, err = kcwkeyring.ReadKey(s.Keys.OperatorKeyFile); err != nil {
			return Keys{}, eris.Wrap(err, "OperatorKeyFile")
		}
	}
	for name, upstream := range s.Upstream {
		if upstream.KeyFile == "" {
			continue
		}
		if k.Upstreams[name], err = kcwkeyring.ReadKey(upstream.KeyFile); err != nil {
			return Keys{}, eris.Wrapf(err, "KeyFile of %s", name)
		}
	}
	return k, nil
}
