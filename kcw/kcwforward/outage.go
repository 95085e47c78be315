package kcwforward

import (
	"errors"
	"syscall"
	"time"

	"kingcupwick.example/kcw/kcwcold"
	"kingcupwick.example/kcw/kcwconn"
	"kingcupwick.example/kcw/kcwroster"
)

// dialSign returns the sign of an outage that is the error of opening a connection. A host that
// runs refuses connections to a process that does not.
func dialSign(err error) kcwcold.Sign {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return kcwcold.Refused
	}
	return kcwcold.TimedOut
}

// reportOutage reports a sign that the upstream had an outage.
func (a *attempt) reportOutage(sign kcwcold.Sign) {
	a.f.cfg.Permits.ReportOutage(a.ticket.ID(), sign)
}

// endLate ends an attempt whose permit was no longer valid when conn was open. Nothing has been
// sent on it.
func (a *attempt) endLate(conn *kcwconn.Conn) result {
	a.cause = "the permit for upstream " + a.ticket.ID() + " has expired before the request could be sent"
	a.ticket.Pool().Put(conn, time.Time{})
	a.ticket.Done(kcwroster.Neutral)
	return notRun
}
