package kcwrouter

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwforward"
	"kingcupwick.example/kcw/kcwmeter"
	"kingcupwick.example/kcw/kcwroster"
)

// timeBounds are the upper bounds of the histogram buckets, in seconds.
var timeBounds = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.6, 0.8, 1, 2, 4, 6, 15}

// newObserver returns a callback that logs and counts each request when it ends. Status
// returns the status of the document in force.
func newObserver(m *kcwmeter.Meter, status func() documentStatus) func(kcwforward.Event) {
	requests := m.Counter("kcw_router_requests", "Requests that ended, by service, outcome and status.")
	sends := m.Counter("kcw_router_sends", "Attempts at upstreams, by service.")
	cut := m.Counter("kcw_router_attempts_cut", "Last attempts of requests whose upstream closed the connection, by service and whether an answer had begun.")
	used := m.Counter("kcw_router_tokens", "Tokens used, by team.")
	firstByte := m.Histogram("kcw_router_first_byte", "Time until the first byte of an answer, by service.", "s", timeBounds...)
	elapsed := m.Histogram("kcw_router_request", "Time until a request ended, by service.", "s", timeBounds...)
	return func(e kcwforward.Event) {
		ctx := context.Background()
		service := attribute.String("service", e.Service)
		requests.Add(ctx, 1, metric.WithAttributes(service, attribute.String("outcome", e.Outcome), attribute.Int("status", e.Status)))
		sends.Add(ctx, int64(e.Sends), metric.WithAttributes(service))
		elapsed.Record(ctx, e.Elapsed.Seconds(), metric.WithAttributes(service))
		if e.FirstByte > 0 {
			firstByte.Record(ctx, e.FirstByte.Seconds(), metric.WithAttributes(service))
		}
		if e.Cut {
			cut.Add(ctx, 1, metric.WithAttributes(service, attribute.Bool("begun", e.Begun)))
		}
		if e.Used > 0 {
			used.Add(ctx, e.Used, metric.WithAttributes(attribute.String("team", e.Team)))
		}
		logRequest(e)
		if isNotAllowed(e) {
			logNotAllowed(e, status())
		}
	}
}

// isNotAllowed reports whether the router refused a request for want of a route or key. The
// answer of an upstream may have the same status.
func isNotAllowed(e kcwforward.Event) bool {
	return e.Sends == 0 && (e.Status == http.StatusUnauthorized || e.Status == http.StatusForbidden || e.Status == http.StatusNotFound)
}

// logNotAllowed logs the version that does not allow a request, and the age of the last
// contact with the core.
func logNotAllowed(e kcwforward.Event, b documentStatus) {
	klog.InfoS("Configuration does not allow the request", "Request", e.RequestID, "Outcome", e.Outcome, "Status", e.Status,
		"Version", e.Document, "Newest", b.Version, "From", b.From, "VersionAge", time.Since(b.ReceivedAt).String(),
		"Member", b.Host, "ContactAge", time.Since(b.ContactAt).String(), "CoreLost", b.IsLost)
}

// logRequest logs the end of a request, and the state of the team's budget if that
// made the router refuse it.
func logRequest(e kcwforward.Event) {
	if !e.Budget.AsOf.IsZero() {
		klog.InfoS("Tokens refused", "Request", e.RequestID, "Team", e.Team, "Tokens", e.Tokens,
			"Available", e.Budget.Available, "Unspent", e.Budget.Unspent, "BudgetAge", e.BudgetAge.String())
	}
	klog.InfoS("Request ended", "Request", e.RequestID, "Outcome", e.Outcome, "Status", e.Status, "Cause", e.Cause,
		"Route", e.Route, "Team", e.Team, "Service", e.Service, "Upstream", e.Upstream, "Sends", e.Sends,
		"Permit", e.Permit, "Displaced", e.Displaced, "Avoided", e.Avoided,
		"Elapsed", e.Elapsed.String(), "FirstByte", e.FirstByte.String(), "RetryAfter", e.RetryAfter.String(),
		"Document", e.Document, "ListAge", e.ListAge.String(), "Tokens", e.Tokens, "Used", e.Used, "Cut", e.Cut, "CloseDelimited", e.CloseDelimited, "Surplus", e.Surplus, "Parts", loggedParts(e))
}

// maxLoggedParts bounds the parts in one line of the log.
const maxLoggedParts = 64

// loggedParts returns the first parts of the prompt of a request whose upstream closed the
// connection, and none for other requests.
func loggedParts(e kcwforward.Event) []string {
	if !e.Cut {
		return nil
	}
	return e.Parts[:min(len(e.Parts), maxLoggedParts)]
}

// logRetry logs a failed attempt that is followed by another.
func logRetry(e kcwforward.Event) {
	klog.InfoS("Attempt failed", "Request", e.RequestID, "Cause", e.Cause, "Service", e.Service, "Upstream", e.Upstream,
		"Sends", e.Sends, "ListAge", e.ListAge.String(), "Cut", e.Cut, "Surplus", e.Surplus, "Begun", e.Begun, "Parts", loggedParts(e))
}

// logWithdrawal logs an answer whose upstream declines further requests.
func logWithdrawal(attempt, upstream string, answer kcwforward.ResponseInfo) {
	klog.InfoS("Upstream withdraws", "Request", attempt, "Upstream", upstream, "Leaving", answer.Leaving, "DeclinedUntil", answer.DeclinedUntil)
}

// newSilenceObserver returns a callback that logs and counts each silence of an upstream.
func newSilenceObserver(m *kcwmeter.Meter) func(kcwroster.Silence) {
	silences := m.Counter("kcw_router_upstream_silences", "Silences of upstreams that requests waited for, by service.")
	return func(s kcwroster.Silence) {
		message := "Upstream silent"
		if s.Ended {
			message = "Upstream no longer silent"
		} else {
			silences.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", s.Service)))
		}
		klog.InfoS(message, "Upstream", s.Upstream, "Service", s.Service, "Silence", time.Since(s.Since).String(), "Waiting", s.Waiting, "InFlight", s.InFlight)
	}
}

// newHedgeObserver returns a callback that logs and counts the hedges of requests whose
// upstream is silent.
func newHedgeObserver(m *kcwmeter.Meter) func(kcwforward.Hedge) {
	hedges := m.Counter("kcw_router_hedges", "Hedges of requests whose upstream is silent, by service and what happened to them.")
	return func(h kcwforward.Hedge) {
		hedges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", h.Service), attribute.String("state", string(h.State))))
		klog.InfoS("Hedge of a request", "State", h.State, "Request", h.RequestID, "Service", h.Service, "SilentUpstream", h.Silent, "Upstream", h.Upstream, "Cause", h.Cause, "Events", h.Events)
	}
}
