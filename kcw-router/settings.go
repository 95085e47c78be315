package main

import (
	"net/netip"
	"time"
)

// settings is the INI file of a router.
type settings struct {
	Router struct {
		// Name is the router's own name, the same at each start.
		Name string `setting:"required"`
		// Zone is its availability zone.
		Zone string `setting:"required"`
		// Address is where callers reach it, Internal the other routers, and
		// Operator the operators.
		Address  netip.AddrPort `setting:"required"`
		Internal netip.AddrPort `setting:"required"`
		Operator netip.AddrPort `setting:"required"`
		// Data is the folder for the router's own state; empty for none.
		Data string
		// Ledgers are the replicas of the ledger.
		Ledgers []netip.AddrPort `setting:"required"`
		// ProcessKeyFile holds the key that the system's own processes share.
		ProcessKeyFile string `setting:"required"`
		// OperatorKeyFile holds the key for the state dump; empty refuses it.
		OperatorKeyFile string
		LogLevel        string `default:"info" setting:"oneof=error|warning|info|debug|trace"`
		// DrainTime is how long a router that stops still takes requests while
		// it is not ready, so that the balancer notices.
		DrainTime time.Duration `default:"5s" setting:"min=0s"`
		// StopTimeout bounds the wait for requests in flight at a stop.
		StopTimeout time.Duration `default:"10m" setting:"min=1s"`
	}
	Limits struct {
		MaxBodyBytes     int64 `default:"4194304" setting:"min=1024"`
		MaxAnswerBytes   int64 `default:"16777216" setting:"min=1024"`
		MaxEventBytes    int   `default:"1048576" setting:"min=1024"`
		QueueCapacity    int   `default:"1000" setting:"min=1"`
		UpstreamCapacity int   `default:"16" setting:"min=1"`
		MaxAttempts      int   `default:"3" setting:"min=1,max=10"`
		MaxContracts     int   `default:"4096" setting:"min=1"`
	}
	Deadlines struct {
		Open      time.Duration `default:"3s" setting:"min=1ms"`
		Settle    time.Duration `default:"10s" setting:"min=1ms"`
		FirstByte time.Duration `default:"1m" setting:"min=1ms"`
		Answer    time.Duration `default:"10m" setting:"min=1ms,max=24h"`
		Progress  time.Duration `default:"30s" setting:"min=1ms"`
		Write     time.Duration `default:"30s" setting:"min=1ms"`
		Poll      time.Duration `default:"250ms" setting:"min=10ms"`
		Silence   time.Duration `default:"3s" setting:"min=100ms"`
	}
	Answers struct {
		MaxBytes   int64         `default:"67108864" setting:"min=0"`
		MaxAnswers int           `default:"10000" setting:"min=1"`
		Retention  time.Duration `default:"10m" setting:"min=1s"`
	}
	Engine struct {
		// ContinuousUsage asks engines for the usage with each event.
		ContinuousUsage bool
		// Priority tells engines the priority of each request.
		Priority bool
	}
	Upstream map[string]upstreamSettings `setting:"required"`
}

// upstreamSettings is one upstream.
type upstreamSettings struct {
	Name    string         `setting:"label"`
	Service string         `setting:"required"`
	Zone    string         `setting:"required"`
	Address netip.AddrPort `setting:"required"`
	// KeyFile holds the key that the upstream asks for; empty for none.
	KeyFile string
}
