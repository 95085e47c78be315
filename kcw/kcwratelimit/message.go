package kcwratelimit

import (
	"math"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// maxNameBytes bounds the names of an upstream and of its service in a message.
const maxNameBytes = 256

// Kind classifies an Error.
type Kind int

// Malformed means that a message is damaged.
const Malformed Kind = 1

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	// Upstream is the upstream that the message names.
	Upstream string
}

// Error describes the failure.
func (e *Error) Error() string {
	return "kcwratelimit: " + e.Op + ": the limit of " + e.Upstream + " is damaged"
}

// Encode returns the message for the limit, with its age at now.
func (l *Limit) Encode(now time.Time) *kcwpb.UpstreamLimit {
	m := &kcwpb.UpstreamLimit{
		Upstream: l.Upstream, Service: l.Service, PerSecond: l.PerSecond, AgeNanos: max(0, int64(now.Sub(l.AnsweredAt))), ElapsedNanos: -1,
	}
	if !l.SentAt.IsZero() {
		m.ElapsedNanos = max(0, int64(l.AnsweredAt.Sub(l.SentAt)))
	}
	return m
}

// Decode returns the limit of a message that arrived at now. The error is an *Error.
func Decode(m *kcwpb.UpstreamLimit, now time.Time) (Limit, error) {
	isNumber := m.GetPerSecond() >= 0 && !math.IsInf(m.GetPerSecond(), 0)
	if !isNumber || m.GetAgeNanos() < 0 || m.GetUpstream() == "" || len(m.GetUpstream()) > maxNameBytes || len(m.GetService()) > maxNameBytes {
		return Limit{}, &Error{Op: "decode", Kind: Malformed, Upstream: m.GetUpstream()[:min(len(m.GetUpstream()), maxNameBytes)]}
	}
	l := Limit{
		Upstream: m.GetUpstream(), Service: m.GetService(), PerSecond: m.GetPerSecond(), AnsweredAt: now.Add(-time.Duration(m.GetAgeNanos())),
	}
	if m.GetElapsedNanos() >= 0 {
		l.SentAt = l.AnsweredAt.Add(-time.Duration(m.GetElapsedNanos()))
	}
	return l, nil
}

// DecodeAll returns the limits of messages that arrived at now. The error is an *Error, also
// if there are more than MaxUpstreams.
func DecodeAll(messages []*kcwpb.UpstreamLimit, now time.Time) ([]Limit, error) {
	if len(messages) > MaxUpstreams {
		return nil, &Error{Op: "decode", Kind: Malformed, Upstream: "too many upstreams"}
	}
	limits := make([]Limit, 0, len(messages))
	for _, m := range messages {
		l, err := Decode(m, now)
		if err != nil {
			return nil, err
		}
		limits = append(limits, l)
	}
	return limits, nil
}

// IsEncodable reports whether other processes accept the message for the limit.
func (l *Limit) IsEncodable() bool {
	return len(l.Upstream) <= maxNameBytes && len(l.Service) <= maxNameBytes
}
