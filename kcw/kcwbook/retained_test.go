package kcwbook

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"kingcupwick.example/kcw/kcwpb"
)

// newTestState returns a state with accounts.
func newTestState(customers ...string) *state {
	s := newState()
	for _, customer := range customers {
		s.add(customer)
	}
	return s
}

// TestRecord checks that decoding a record returns the claim that was encoded.
func TestRecord(t *testing.T) {
	digest := [digestSize]byte{1, 2, 31: 255}
	plain := claim{customer: "b", request: "r", router: "entry-1", state: kcwpb.ClaimState_CLAIM_STATE_NOT_RUN}
	for _, test := range []struct {
		name   string
		change func(*claim)
	}{
		{"plain", func(*claim) {}},
		{"billed", func(c *claim) { c.state = kcwpb.ClaimState_CLAIM_STATE_BILLED }},
		{"repeatable", func(c *claim) { c.repeatable = true }},
		{"fromGrant", func(c *claim) { c.fromGrant, c.grantTokens = true, maxTokens }},
		{"digest", func(c *claim) { c.digest, c.hasDigest = digest, true }},
		{"zeroDigest", func(c *claim) { c.hasDigest = true }},
		{"answer", func(c *claim) { c.answerDigest, c.hasAnswerDigest = digest, true }},
		{"both", func(c *claim) { c.hasDigest, c.answerDigest, c.hasAnswerDigest = true, digest, true }},
		{"times", func(c *claim) { c.openedAt, c.leaseUntil, c.closedAt = 7, maxTime, maxTime }},
		{"extremes", func(c *claim) {
			c.openedAt, c.leaseUntil, c.closedAt, c.tokens = math.MaxInt64, math.MinInt64, math.MinInt64, math.MinInt64
		}},
		{"numbers", func(c *claim) { c.tokens, c.incarnation, c.attempt = maxTokens, math.MaxUint64, math.MaxUint64 }},
		{"uuid", func(c *claim) { c.request = "01234567-89ab-cdef-0123-456789abcdef" }},
		{"upperCaseUUID", func(c *claim) { c.request = "01234567-89AB-cdef-0123-456789abcdef" }},
		{"hyphenMoved", func(c *claim) { c.request = "0123456-789ab-cdef-0123-456789abcdef" }},
		{"hyphenTooMany", func(c *claim) { c.request = "01234567-89ab-cdef-0123-456789abcde-" }},
		{"noHyphen", func(c *claim) { c.request = "01234567089ab-cdef-0123-456789abcdef" }},
		{"longest", func(c *claim) { c.request, c.upstream = strings.Repeat("ü", 128), strings.Repeat("u", 256) }},
	} {
		want := plain
		test.change(&want)
		s := newTestState("a", "b")
		for _, full := range []bool{false, true} {
			for i := 0; full && i < maxInternedNames; i++ {
				s.upstreams.number(fmt.Sprint("other-", i))
			}
			want.upstream += "x"
			record := s.appendRecord([]byte("before"), &want, 1, 3)[len("before"):]
			if got := s.decoder().claim(append(record, "behind"...)); *got != want {
				t.Errorf("%s: got %+v, want %+v", test.name, *got, want)
			}
		}
	}
}

// colliding returns two requests whose keys at slot have the same hash.
func colliding(r *retentionQueue, slot int) (x, y string) {
	seen := map[uint32]string{}
	for i := 0; ; i++ {
		y = fmt.Sprint("r-", i)
		key := r.hash(slot, y)
		if x = seen[key]; x != "" {
			return x, y
		}
		seen[key] = y
	}
}

// TestIndexCollision stores, replaces and removes claims of two requests with the
// same hash.
func TestIndexCollision(t *testing.T) {
	for first := range 2 {
		s := newTestState("a")
		a := s.accounts["a"]
		x, y := colliding(&s.repeatableClaims, 0)
		pair := [2]string{x, y}
		storeClosed := func(request string, at int64) {
			s.now = at
			s.storeClaim(a, &claim{request: request, state: kcwpb.ClaimState_CLAIM_STATE_BILLED, repeatable: true, closedAt: at, tokens: at})
		}
		check := func(request string, want int64) {
			t.Helper()
			var got int64
			if c := s.findClaim(a, request); c != nil {
				got = c.tokens
				if c.request != request {
					t.Fatalf("found %s for %s", c.request, request)
				}
			}
			if got != want {
				t.Fatalf("%s: found %d, want %d", request, got, want)
			}
		}
		storeClosed(x, 1)
		check(y, 0)
		storeClosed(y, 2)
		check(x, 1)
		check(y, 2)
		storeClosed(pair[first], 3)
		check(pair[first], 3)
		check(pair[1-first], int64(2-first))
		s.now = 3 + int64(repeatableRetention)
		s.sweep()
		check(x, 0)
		check(y, 0)
		if q := &s.repeatableClaims; len(q.index) != 0 || len(q.collisions) != 0 || q.oldest() != 0 || len(q.records(0)) != 0 {
			t.Errorf("%d claims are left in the index and %d in the collisions", len(q.index), len(q.collisions))
		}
	}
}

// TestRetainedChunks passes claims for several chunks through a queue, and checks
// that an image created in between keeps the claims of its time.
func TestRetainedChunks(t *testing.T) {
	s := newTestState("a", "b", "c")
	const window, total = 2*claimsPerChunk + 100, 5 * claimsPerChunk
	q := &s.nonRepeatableClaims
	var earlier *image
	for i := range total {
		slot := i % 2
		request := fmt.Sprint("r-", i)
		q.push(s, &claim{request: request, closedAt: int64(i)}, slot)
		if i == window/2 {
			earlier = s.image()
		}
		if i%3 == 0 {
			q.markReplaced(slot, request, s.generation)
		}
		if i < window {
			continue
		}
		old := i - window
		if number := q.oldest(); number != uint64(old+1) || recordClosedAt(q.record(number)) != int64(old) {
			t.Fatalf("the oldest is %d, want %d", number, old+1)
		}
		q.removeFromIndex(q.oldest(), old%2, fmt.Sprint("r-", old))
		q.pop()
	}
	for i := range total {
		want := i >= total-window && i%3 != 0
		if got := q.find(i%2, fmt.Sprint("r-", i)); (got != 0) != want || (want && got != uint64(i+1)) {
			t.Fatalf("claim %d: found %d", i, got)
		}
	}
	if got := len(q.records(0)) + len(q.records(1)) + len(q.records(2)); got != len(q.index)+len(q.collisions) {
		t.Errorf("links lead to %d claims, the index has %d", got, len(q.index))
	}
	wantClaims := 0
	for i := 0; i <= window/2; i++ {
		if i%3 != 0 || i == window/2 {
			wantClaims++
		}
	}
	list := earlier.closedClaims()
	if len(list) != wantClaims {
		t.Errorf("the image has %d claims, want %d", len(list), wantClaims)
	}
	for i, k := range list {
		if c := earlier.decoder.claim(earlier.record(k)); c.closedAt != k.closedAt || c.request != fmt.Sprint("r-", c.closedAt) || (i > 0 && list[i-1].closedAt >= k.closedAt) {
			t.Fatalf("claim %d of the image is %s closed at %d", i, c.request, c.closedAt)
		}
	}
}
