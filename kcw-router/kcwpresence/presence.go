// Package kcwpresence registers a router's incarnation with the ledger and then
// sends heartbeats.
package kcwpresence

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
)

const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 500 * time.Millisecond
	// registerPause is the time between two attempts to register.
	registerPause = 200 * time.Millisecond
)

// Kind classifies an Error.
type Kind int

// KindFenced means that a newer incarnation of the router is registered.
const KindFenced Kind = 1

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the text of the cause.
func (e *Error) Error() string { return "kcwpresence: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ledger receives registrations and heartbeats. A *kcwledger.Client is one.
type ledger interface {
	Submit(ctx context.Context, cmd *kcwpb.Command) (*kcwpb.Result, error)
	Heartbeat(ctx context.Context, req *kcwpb.HeartbeatRequest) (*kcwpb.HeartbeatResponse, error)
}

// Config configures a Presence.
type Config struct {
	// Ledger is required.
	Ledger ledger
	// Router and Zone are the router's name and availability zone.
	Router, Zone string
	// Incarnation is larger than that of every earlier process of the router.
	Incarnation uint64
	// Address is where other routers fetch answers.
	Address netip.AddrPort
	// Revision returns the revision of the contracts in force here.
	Revision func() uint64
	// Fenced is called once, when a newer incarnation has been registered.
	Fenced func()
	// OnHeartbeat, if set, is called with each answer to a heartbeat.
	OnHeartbeat func(*kcwpb.HeartbeatResponse)
}

// Presence keeps one router registered with the ledger.
type Presence struct {
	cfg Config
}

// New returns a Presence for cfg. It panics if cfg has no ledger, router
// or incarnation.
func New(cfg Config) *Presence {
	if cfg.Ledger == nil || cfg.Router == "" || cfg.Incarnation == 0 {
		panic("kcwpresence: ledger, router and incarnation are needed")
	}
	return &Presence{cfg: cfg}
}

// Incarnation returns an incarnation for a process that starts at now. It is
// larger than last, the incarnation of the previous process or zero.
func Incarnation(now time.Time, last uint64) uint64 {
	return max(uint64(now.UnixNano()), last+1)
}

// Register registers the incarnation, and retries until the ledger answers or
// ctx ends. The error is an *Error, of KindFenced if a newer incarnation of the
// router is registered.
func (p *Presence) Register(ctx context.Context) error {
	cmd := &kcwpb.Command{Op: &kcwpb.Command_RegisterRouter{RegisterRouter: &kcwpb.RegisterRouter{
		Router: p.cfg.Router, Zone: p.cfg.Zone, Incarnation: p.cfg.Incarnation, Address: p.cfg.Address.String(),
	}}}
	for {
		result, err := p.cfg.Ledger.Submit(ctx, cmd)
		switch {
		case err != nil:
			klog.InfoS("Router not registered yet", "Cause", err.Error())
		case result.GetCode() == kcwpb.Code_CODE_OK || result.GetCode() == kcwpb.Code_CODE_REPEATED:
			return nil
		case result.GetCode() == kcwpb.Code_CODE_FENCED:
			return &Error{Op: "register", Kind: KindFenced, Err: eris.New("a newer incarnation of this router is registered")}
		default:
			return &Error{Op: "register", Err: eris.Errorf("%s %s", result.GetCode(), result.GetDetail())}
		}
		select {
		case <-time.After(registerPause):
		case <-ctx.Done():
			return &Error{Op: "register", Err: eris.Wrap(ctx.Err(), "ledger")}
		}
	}
}

// Run sends heartbeats until ctx ends.
func (p *Presence) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	fenced := false
	for ctx.Err() == nil {
		answer := p.sendHeartbeat(ctx)
		if answer.GetFenced() && !fenced {
			fenced = true
			klog.ErrorS(eris.New("fenced"), "Router fenced: a newer incarnation is registered")
			p.cfg.Fenced()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// sendHeartbeat sends one heartbeat and returns the answer, or nil after an
// error.
func (p *Presence) sendHeartbeat(ctx context.Context) *kcwpb.HeartbeatResponse {
	callCtx, cancel := context.WithTimeout(ctx, 4*heartbeatInterval)
	defer cancel()
	answer, err := p.cfg.Ledger.Heartbeat(callCtx, &kcwpb.HeartbeatRequest{
		Router: p.cfg.Router, Zone: p.cfg.Zone, Incarnation: p.cfg.Incarnation, Revision: p.cfg.Revision(),
	})
	if err != nil {
		return nil
	}
	if p.cfg.OnHeartbeat != nil {
		p.cfg.OnHeartbeat(answer)
	}
	return answer
}
