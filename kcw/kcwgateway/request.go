package kcwgateway

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"kingcupwick.example/kcw/kcwcontract"
	"kingcupwick.example/kcw/kcwmemory"
)

const (
	// maxIdentityBytes is the maximum length of an Idempotency-Key.
	maxIdentityBytes = 128
	// identityBytes is the length of the random part of a generated identity.
	identityBytes = 16
)

// request is an admitted request.
type request struct {
	contract *kcwcontract.Contract
	team     kcwcontract.Team
	// identity is the caller's Idempotency-Key, or generated if identityGiven is
	// false.
	identity      string
	identityGiven bool
	digest        []byte
	// method, uri, header and body are those sent to the upstream.
	method, uri string
	header      http.Header
	body        []byte
	// service is the service whose upstreams get the request.
	service    string
	repeatable bool
	startedAt  time.Time
	// memory is what the request holds.
	memory *holding
	// reservation is an upper bound on the tokens of the request. They are reserved
	// when its claim is opened.
	reservation int64
	// openAttempt is the number of the attempt to open the claim. No two attempts of
	// this process have the same number.
	openAttempt uint64
	// limitedLocally is set if the request is counted by Config.Limits.
	limitedLocally bool
	// chat is nil for a plain service.
	chat *chatParams
	// cost is the price of a call of a plain service, in tokens.
	cost int64
}

// chatParams holds the token bounds and options of a chat completion.
type chatParams struct {
	// prompt bounds the tokens of the prompt, and perChoice those of the completion
	// of each choice.
	prompt, perChoice, choices int64
	stream                     bool
	// wantsUsage is set if the caller asked for the token usage in the stream.
	wantsUsage bool
	// prefix is the hash of the model and of the start of the messages.
	prefix uint64
}

// completionBound returns the bound on the tokens of all choices together.
func (p *chatParams) completionBound() int64 { return p.perChoice * p.choices }

func (r *request) flightKey() flightKey { return flightKey{r.contract.Customer, r.identity} }

// priority returns the priority of the request; a larger number is served first.
func (r *request) priority() int64 {
	return min(max(r.contract.Priority+r.team.Priority, 0), priorities-1)
}

// wantsStream reports whether the caller asked for an event stream.
func (r *request) wantsStream() bool { return r.chat != nil && r.chat.stream }

// identityOf returns the caller's Idempotency-Key, or a generated identity if
// there is none. It returns a refusal if the key is malformed or sent twice.
func identityOf(header http.Header, now time.Time) (identity string, given bool, refused *refusal) {
	values := header.Values("Idempotency-Key")
	if len(values) == 0 {
		return newIdentity(), false, nil
	}
	if len(values) > 1 || !isIdentity(values[0]) {
		return "", false, refuse(codeInvalidIdentity, now, "")
	}
	return values[0], true, nil
}

func isIdentity(text string) bool {
	if len(text) == 0 || len(text) > maxIdentityBytes {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

func newIdentity() string {
	raw := make([]byte, identityBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(raw)
	return "kcw-" + hex.EncodeToString(raw)
}

// readBody reads the whole body, within MaxBodyBytes and ReadTimeout.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, memory *holding, now time.Time) ([]byte, *refusal) {
	limit := g.cfg.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, refuse(codeBodyTooLarge, now, "")
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	// Only the writers of tests don't support deadlines.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(now.Add(g.cfg.ReadTimeout))
	abort := func() { _ = control.SetReadDeadline(now) }
	raw, acquired, err := memory.account.Receive(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, abort)
	memory.held += acquired
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return raw, nil
	}
	// The read deadline may have passed, and the rest of the body is not read.
	w.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	var full *kcwmemory.Error
	isFull := errors.As(err, &full)
	switch {
	case errors.As(err, &large), isFull && full.Kind == kcwmemory.TooLarge:
		return nil, refuse(codeBodyTooLarge, now, "")
	case isFull:
		g.logFull("body")
		return nil, refuse(codeMemoryFull, g.cfg.Now(), "")
	default:
		return nil, refuse(codeMalformedBody, now, "The body is incomplete.")
	}
}

// digestOf returns the SHA-256 of method, URI and body. Two requests with one
// identity are the same request if their digests are equal.
func digestOf(method, uri string, body []byte) []byte {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), {'\n'}, []byte(uri), {'\n'}, body} {
		_, _ = hash.Write(part)
	}
	return hash.Sum(nil)
}

// isNoRepeat reports whether the caller marked the request as not repeatable.
func isNoRepeat(header http.Header) bool {
	return header.Get(NoRepeatHeader) == "true"
}
