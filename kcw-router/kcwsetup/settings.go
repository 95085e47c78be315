// Package kcwsetup holds the settings file of a router.
package kcwsetup

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwsettings"
)

// Settings is the INI file of a router.
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

// hostSettings says where the router runs.
type hostSettings struct {
	// Name is the router's own name, the same at each start.
	Name string `setting:"required"`
	Zone string `setting:"required"`
	// Address is where callers reach the router, InternalAddress the other
	// routers. AdminAddress serves health, readiness, metrics and the dump.
	Address         netip.AddrPort `setting:"required"`
	InternalAddress netip.AddrPort `setting:"required"`
	AdminAddress    netip.AddrPort `setting:"required"`
	// Folder holds the router's own state; empty for a host without a disk.
	Folder   string
	LogLevel string `default:"info" setting:"oneof=error|warning|info|debug|trace"`
	// DrainTime is how long a router that stops still takes requests while it
	// is not ready, so that the balancer notices.
	DrainTime time.Duration `default:"5s" setting:"min=0s,max=10m"`
	// StopTimeout bounds the wait for requests in flight at a planned stop.
	StopTimeout time.Duration `default:"15m" setting:"min=100ms,max=24h"`
}

// ledgerSettings says where the ledger is.
type ledgerSettings struct {
	Addresses []netip.AddrPort `setting:"required"`
	// MaxContracts bounds the contracts kept in memory.
	MaxContracts int `default:"4096" setting:"min=1,max=1000000"`
}

// keySettings names the files that hold keys.
type keySettings struct {
	// RouterKeyFile holds the key that routers show the ledger and each other.
	RouterKeyFile string `setting:"required"`
	// OperatorKeyFile holds the key for the state dump; empty refuses the dump.
	OperatorKeyFile string
}

// grantSettings says how the router serves while it can't reach the ledger. It
// needs a folder for that.
type grantSettings struct {
	// Endurance is how long the router should serve its demand by itself; zero
	// draws no grants.
	Endurance time.Duration `default:"1m" setting:"min=0s,max=24h"`
	// Divisor is the fraction of a budget's free tokens that one router may
	// hold at most, as its divisor.
	Divisor int64 `default:"40" setting:"min=1,max=1000000"`
	// IdleAfter is how long a grant without demand is kept.
	IdleAfter time.Duration `default:"10m" setting:"min=1s,max=24h"`
	// LedgerDeadline bounds the wait for the ledger before a grant is used.
	LedgerDeadline time.Duration `default:"300ms" setting:"min=1ms,max=1m"`
	// LedgerPatience bounds the wait where no grant covers the request, and is how long
	// the ledger must be silent for such a request to be refused at once: longer than an
	// election takes.
	LedgerPatience time.Duration `default:"1s" setting:"min=1ms,max=1m"`
	// Routers share the limits of a contract then, and Rank is this router's
	// place among them, from zero.
	Routers int `default:"10" setting:"min=1,max=100000"`
	Rank    int `default:"0" setting:"min=0,max=99999"`
}

// limitSettings bounds what one router holds.
type limitSettings struct {
	MaxBodyBytes     int64 `default:"4194304" setting:"min=1024,max=1073741824"`
	MaxAnswerBytes   int64 `default:"16777216" setting:"min=1024,max=1073741824"`
	MaxEventBytes    int   `default:"1048576" setting:"min=1024,max=1073741824"`
	QueueCapacity    int   `default:"1000" setting:"min=1,max=1000000"`
	UpstreamCapacity int   `default:"16" setting:"min=1,max=100000"`
	MaxAttempts      int   `default:"3" setting:"min=1,max=10"`
	// FirstRetries is how many retries of a service a router may spend before
	// its first requests have earned any.
	FirstRetries int `default:"10" setting:"min=0,max=10"`
}

// deadlineSettings bounds each wait.
type deadlineSettings struct {
	Open      time.Duration `default:"3s" setting:"min=1ms,max=1m"`
	Settle    time.Duration `default:"10s" setting:"min=1ms,max=10m"`
	FirstByte time.Duration `default:"1m" setting:"min=1ms,max=1h"`
	Answer    time.Duration `default:"10m" setting:"min=1ms,max=24h"`
	Progress  time.Duration `default:"30s" setting:"min=1ms,max=1h"`
	Write     time.Duration `default:"30s" setting:"min=1s,max=1h"`
	Read      time.Duration `default:"30s" setting:"min=1s,max=1h"`
	Poll      time.Duration `default:"1s" setting:"min=10ms,max=1m"`
	Silence   time.Duration `default:"3s" setting:"min=100ms,max=10m"`
}

// answerSettings bounds the finished answers kept for retries.
type answerSettings struct {
	MaxBytes   int64         `default:"67108864" setting:"min=1024,max=1099511627776"`
	MaxAnswers int           `default:"10000" setting:"min=1,max=10000000"`
	Retention  time.Duration `default:"10m" setting:"min=1s,max=24h"`
}

// engineSettings says what the model engines understand.
type engineSettings struct {
	// ContinuousUsage asks for the usage with each event of a stream.
	ContinuousUsage bool
	// Priority sends the priority of each request, the lowest number first.
	Priority bool
	// PrefixYield is the range of utilization over which an engine that has a
	// prompt's prefix gives way to others. Zero suits tens of engines, 0.4
	// hundreds.
	PrefixYield float64 `default:"0" setting:"min=0,max=1"`
}

// Upstream is one upstream; the section's label is its name.
type Upstream struct {
	Service string         `setting:"required"`
	Zone    string         `setting:"required"`
	Address netip.AddrPort `setting:"required"`
	// KeyFile holds the key that the upstream asks for; empty for none.
	KeyFile string
}

// Keys is the keys that the settings name.
type Keys struct {
	Router, Operator string
	// Upstreams are by the names of the upstreams.
	Upstreams map[string]string
}

// Load reads and checks the settings at path. The error names every problem.
func Load(path string) (*Settings, error) {
	s := &Settings{}
	if err := kcwsettings.Load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadKeys reads the key files.
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
