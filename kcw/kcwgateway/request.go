package kcwgateway

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"time"

	"kingcupwick.example/kcw/kcwcontract"
)

const (
	// maxIdentityBytes is the longest Idempotency-Key.
	maxIdentityBytes = 128
	// identityBytes is the random part of an identity made here.
	identityBytes = 16
)

// request is one admitted request.
type request struct {
	contract *kcwcontract.Contract
	team     kcwcontract.Team
	// identity is the caller's, or made here if named is false.
	identity string
	named    bool
	digest   []byte
	// method, uri, header and body are what the upstream gets.
	method, uri string
	header      http.Header
	body        []byte
	// service is the upstream service.
	service    string
	repeatable bool
	startedAt  time.Time
	// reserve bounds the tokens of the request.
	reserve int64
	// attempt is this router's number of the opening of the claim.
	attempt uint64
	// limited says that the request counts against the Config's Limits.
	limited bool
	// chat is nil for a plain service.
	chat *chatTerms
	// cost is what a plain call takes from the budget, in tokens.
	cost int64
}

// chatTerms is what the gateway holds a chat completion to, in tokens.
type chatTerms struct {
	// prompt bounds the prompt, each the completion of each choice.
	prompt, each, choices int64
	stream                bool
	// wantsUsage says that the caller asked for the usage in the stream.
	wantsUsage bool
	prefix     uint64
}

// completion bounds the tokens of all choices.
func (t *chatTerms) completion() int64 { return t.each * t.choices }

func (r *request) id() identity { return identity{r.contract.Customer, r.identity} }

// priority returns the priority of the request, the largest number first.
func (r *request) priority() int64 {
	return min(max(r.contract.Priority+r.team.Priority, 0), priorities-1)
}

// streams says whether the caller asked for a stream of events.
func (r *request) streams() bool { return r.chat != nil && r.chat.stream }

// identityOf returns the request identity that the caller gave, or one made
// here. The refusal is nil if there is one.
func identityOf(header http.Header, now time.Time) (text string, named bool, bad *refusal) {
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
	// The random source of the system does not fail.
	_, _ = rand.Read(raw)
	return "kcw-" + hex.EncodeToString(raw)
}

// readBody returns the whole body, within the limits of size and time.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, now time.Time) ([]byte, *refusal) {
	limit := g.cfg.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, refuse(codeBodyTooLarge, now, "")
	}
	// A writer without deadlines is one of a test.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(now.Add(g.cfg.ReadTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, refuse(codeBodyTooLarge, now, "")
	}
	if err != nil {
		return nil, refuse(codeMalformedBody, now, "The body is incomplete.")
	}
	return raw, nil
}

// digestOf returns the SHA-256 of the parts of a request that make it the
// same request.
func digestOf(method, uri string, body []byte) []byte {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), {'\n'}, []byte(uri), {'\n'}, body} {
		_, _ = hash.Write(part)
	}
	return hash.Sum(nil)
}

// marked says whether the caller marked the request as not to be repeated.
func marked(header http.Header) bool {
	return header.Get(NoRepeatHeader) == "true"
}
