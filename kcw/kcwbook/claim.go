package kcwbook

import "kingcupwick.example/kcw/kcwpb"

// claim is the claim of one request. A stored claim is immutable: a change of its
// state stores a new claim. Closed claims are stored in encoded form, as records.
type claim struct {
	customer        string
	request         string
	router          string
	upstream        string
	tokens          int64
	grantTokens     int64
	incarnation     uint64
	attempt         uint64
	openedAt        int64
	leaseUntil      int64
	closedAt        int64
	digest          [digestSize]byte
	answerDigest    [digestSize]byte
	state           kcwpb.ClaimState
	repeatable      bool
	fromGrant       bool
	hasDigest       bool
	hasAnswerDigest bool
}

// clone returns a copy of c that is not stored yet.
func (c *claim) clone() *claim {
	next := *c
	return &next
}

// isClosed reports whether the claim no longer holds tokens.
func (c *claim) isClosed() bool {
	return c.state == kcwpb.ClaimState_CLAIM_STATE_BILLED || c.state == kcwpb.ClaimState_CLAIM_STATE_NOT_RUN
}

// belongsTo reports whether the incarnation of the router, or an older one of the
// same router, owns the claim.
func (c *claim) belongsTo(routerName string, incarnation uint64) bool {
	return c.router == routerName && c.incarnation <= incarnation
}

// setDigest sets the digest of the request if there is one.
func (c *claim) setDigest(digest []byte) {
	if len(digest) == digestSize {
		copy(c.digest[:], digest)
		c.hasDigest = true
	}
}

// setAnswerDigest sets the digest of the answer if there is one.
func (c *claim) setAnswerDigest(digest []byte) {
	if len(digest) == digestSize {
		copy(c.answerDigest[:], digest)
		c.hasAnswerDigest = true
	}
}

// digestDiffers reports whether digest belongs to another request. It is false if
// either digest is absent.
func (c *claim) digestDiffers(digest []byte) bool {
	return c.hasDigest && len(digest) == digestSize && c.digest != [digestSize]byte(digest)
}

// message converts the claim to its wire form.
func (c *claim) message() *kcwpb.Claim {
	m := &kcwpb.Claim{
		Customer:    c.customer,
		Request:     c.request,
		State:       c.state,
		Tokens:      c.tokens,
		Router:      c.router,
		Incarnation: c.incarnation,
		Repeatable:  c.repeatable,
		OpenedAt:    c.openedAt,
		LeaseUntil:  c.leaseUntil,
		ClosedAt:    c.closedAt,
		Upstream:    c.upstream,
		FromGrant:   c.fromGrant,
		GrantTokens: c.grantTokens,
		Attempt:     c.attempt,
	}
	if c.hasDigest {
		m.Digest = append([]byte(nil), c.digest[:]...)
	}
	if c.hasAnswerDigest {
		m.AnswerDigest = append([]byte(nil), c.answerDigest[:]...)
	}
	return m
}

// claimOf converts the wire form m to a claim.
func claimOf(m *kcwpb.Claim) *claim {
	c := &claim{
		customer:    m.GetCustomer(),
		request:     m.GetRequest(),
		state:       m.GetState(),
		tokens:      m.GetTokens(),
		router:      m.GetRouter(),
		incarnation: m.GetIncarnation(),
		repeatable:  m.GetRepeatable(),
		openedAt:    m.GetOpenedAt(),
		leaseUntil:  m.GetLeaseUntil(),
		closedAt:    m.GetClosedAt(),
		upstream:    m.GetUpstream(),
		fromGrant:   m.GetFromGrant(),
		grantTokens: m.GetGrantTokens(),
		attempt:     m.GetAttempt(),
	}
	c.setDigest(m.GetDigest())
	c.setAnswerDigest(m.GetAnswerDigest())
	return c
}
