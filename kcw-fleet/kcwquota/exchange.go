package kcwquota

import (
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwratelimit"
)

// Export returns the limits for another router, as of now.
func (q *Quota) Export() []*kcwpb.UpstreamLimit {
	now := q.cfg.Now()
	var messages []*kcwpb.UpstreamLimit
	for _, l := range q.table.All() {
		if l.IsEncodable() {
			messages = append(messages, l.Encode(now))
		}
	}
	return messages
}

// Merge puts the limits of another router in force. Those that were not known are reported
// to the core too. The error is a *kcwratelimit.Error if they are damaged; none is in force
// then.
func (q *Quota) Merge(messages []*kcwpb.UpstreamLimit) error {
	limits, err := kcwratelimit.DecodeAll(messages, q.cfg.Now())
	if err != nil {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range limits {
		if q.apply(l, "OtherRouter", "") {
			q.pending[l.Upstream] = true
		}
	}
	return nil
}

// Limit is the rate limit of one upstream as shown in dumps.
type Limit struct {
	Upstream  string
	PerSecond float64
	// Age is the time since the last answer that named the limit.
	Age string
	// Permits is the number of requests that this router may send now.
	Permits int
}

// Limited returns the number of upstreams with a limit in force.
func (q *Quota) Limited() int64 { return q.limited.Load() }

// Limits returns the limits in force, sorted by upstream.
func (q *Quota) Limits() []Limit {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	var limits []Limit
	for _, l := range q.table.InForce() {
		limits = append(limits, Limit{l.Upstream, l.PerSecond, now.Sub(l.AnsweredAt).String(), q.stock.Held(l.Upstream, now)})
	}
	return limits
}
