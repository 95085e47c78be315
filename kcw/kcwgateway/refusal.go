package kcwgateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// The headers of this gateway's own.
const (
	// RequestHeader carries the request identity in each answer.
	RequestHeader = "Kcw-Request"
	// NoRepeatHeader, if "true", marks a request that must not be repeated.
	NoRepeatHeader = "Kcw-No-Repeat"
	// ReplayedHeader marks an answer that was kept from the first try.
	ReplayedHeader = "Kcw-Replayed"
	// customerHeader and attemptHeader tell an upstream whose request it gets,
	// and which try of it.
	customerHeader = "Kcw-Customer"
	attemptHeader  = "Kcw-Attempt"
)

// outcome says in a refusal whether the request ran.
type outcome string

const (
	notRun  outcome = "not-run"
	ran     outcome = "ran"
	unknown outcome = "unknown"
)

// code is the stable code of a refusal.
type code string

const (
	codeMalformedBody        code = "malformed_body"
	codeBodyTooLarge         code = "body_too_large"
	codeUnsupported          code = "unsupported_parameter"
	codeTooManyTokens        code = "too_many_tokens"
	codeInvalidIdentity      code = "invalid_identity"
	codeUnknownKey           code = "unknown_key"
	codeUnknownModel         code = "unknown_model"
	codeNotPermitted         code = "not_permitted"
	codeUnknownPath          code = "unknown_path"
	codeMethodNotAllowed     code = "method_not_allowed"
	codeBudgetExhausted      code = "budget_exhausted"
	codeLimitReached         code = "limit_reached"
	codeQueueFull            code = "queue_full"
	codeNoUpstream           code = "no_upstream"
	codeLedgerUnavailable    code = "ledger_unavailable"
	codeContractsUnavailable code = "contracts_unavailable"
	codeRouterDraining       code = "router_draining"
	codeRouterFenced         code = "router_fenced"
	codeInProgress           code = "request_in_progress"
	codeIdentityReused       code = "identity_reused"
	codeOutcomeUnknown       code = "outcome_unknown"
	codeAnswerGone           code = "answer_gone"
	codeUpstreamFailed       code = "upstream_failed"
	codeUpstreamSilent       code = "upstream_silent"
	codeAnswerTooLarge       code = "answer_too_large"
	codeBoundPassed          code = "bound_passed"
	codeNotDurable           code = "bill_not_durable"
	codeCallerGone           code = "caller_gone"
)

// meaning is one line of the table of refusals.
type meaning struct {
	code    code
	status  int
	kind    string
	outcome outcome
	message string
	// wait is how long to wait before a later try, zero if none can succeed.
	wait time.Duration
}

const (
	shortWait  = time.Second
	longWait   = 5 * time.Second
	kindBad    = "invalid_request_error"
	kindAuth   = "authentication_error"
	kindPermit = "permission_error"
	kindQuota  = "insufficient_quota"
	kindRate   = "rate_limit_error"
	kindServer = "server_error"
)

// meanings lists every refusal.
var meanings = []meaning{
	{codeMalformedBody, http.StatusBadRequest, kindBad, notRun, "The body is not a valid request.", 0},
	{codeBodyTooLarge, http.StatusRequestEntityTooLarge, kindBad, notRun, "The body is too large.", 0},
	{codeUnsupported, http.StatusBadRequest, kindBad, notRun, "A parameter is not supported.", 0},
	{codeTooManyTokens, http.StatusBadRequest, kindBad, notRun, "The request may take more tokens than the contract allows for one.", 0},
	{codeInvalidIdentity, http.StatusBadRequest, kindBad, notRun, "The Idempotency-Key must have 1 to 128 visible ASCII characters.", 0},
	{codeUnknownKey, http.StatusUnauthorized, kindAuth, notRun, "The key is missing or belongs to no contract.", 0},
	{codeUnknownModel, http.StatusNotFound, kindBad, notRun, "The contract has no such model.", 0},
	{codeNotPermitted, http.StatusForbidden, kindPermit, notRun, "The contract does not permit this.", 0},
	{codeUnknownPath, http.StatusNotFound, kindBad, notRun, "There is nothing at this path.", 0},
	{codeMethodNotAllowed, http.StatusMethodNotAllowed, kindBad, notRun, "The path does not take this method.", 0},
	{codeBudgetExhausted, http.StatusPaymentRequired, kindQuota, notRun, "The prepaid budget does not cover the request.", 0},
	{codeLimitReached, http.StatusTooManyRequests, kindRate, notRun, "A limit of the contract is reached.", shortWait},
	{codeQueueFull, http.StatusTooManyRequests, kindRate, notRun, "The request cannot start before its deadline.", shortWait},
	{codeNoUpstream, http.StatusServiceUnavailable, kindServer, notRun, "No upstream can take the request.", shortWait},
	{codeLedgerUnavailable, http.StatusServiceUnavailable, kindServer, notRun, "The budget cannot be confirmed now.", shortWait},
	{codeContractsUnavailable, http.StatusServiceUnavailable, kindServer, notRun, "The contract cannot be looked up now.", shortWait},
	{codeRouterDraining, http.StatusServiceUnavailable, kindServer, notRun, "This router is stopping.", shortWait},
	{codeRouterFenced, http.StatusServiceUnavailable, kindServer, notRun, "This router was replaced.", shortWait},
	{codeInProgress, http.StatusConflict, kindServer, unknown, "The same request is in progress.", shortWait},
	{codeIdentityReused, http.StatusUnprocessableEntity, kindBad, notRun, "The Idempotency-Key belongs to another request.", 0},
	{codeOutcomeUnknown, http.StatusConflict, kindServer, unknown, "Whether the request ran is not known; it is not repeated.", 0},
	{codeAnswerGone, http.StatusConflict, kindServer, ran, "The request ran and its answer is no longer kept.", 0},
	{codeUpstreamFailed, http.StatusBadGateway, kindServer, unknown, "The upstream gave no whole answer.", longWait},
	{codeUpstreamSilent, http.StatusGatewayTimeout, kindServer, unknown, "The upstream made no progress.", longWait},
	{codeAnswerTooLarge, http.StatusBadGateway, kindServer, ran, "The answer is too large.", 0},
	{codeBoundPassed, http.StatusBadGateway, kindServer, ran, "The upstream passed the bound on tokens.", 0},
	{codeNotDurable, http.StatusServiceUnavailable, kindServer, unknown, "The bill could not be made durable.", longWait},
	{codeCallerGone, 499, kindServer, unknown, "The caller went away.", longWait},
}

// refusal is an answer that the gateway gives in place of an upstream's.
type refusal struct {
	meaning
	detail  string
	retryAt time.Time
}

// refuse returns the refusal of a code as of now. Detail may be empty. It
// panics if the table lacks the code.
func refuse(c code, now time.Time, detail string) *refusal {
	for _, m := range meanings {
		if m.code != c {
			continue
		}
		r := &refusal{meaning: m, detail: detail}
		if m.wait > 0 {
			r.retryAt = now.Add(m.wait)
		}
		return r
	}
	panic("kcwgateway: no meaning for " + string(c))
}

// as returns r with another outcome. Where the request may have run and must
// not be repeated, a later try cannot succeed.
func (r *refusal) as(o outcome, repeatable bool) *refusal {
	r.outcome = o
	if !repeatable && o != notRun {
		r.retryAt = time.Time{}
	}
	return r
}

// until returns r with the time from which a try can succeed.
func (r *refusal) until(at time.Time) *refusal {
	r.retryAt = at
	return r
}

// errorBody is the form in which client libraries expect an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string  `json:"type"`
	Code    code    `json:"code"`
	Message string  `json:"message"`
	Request string  `json:"request,omitempty"`
	Outcome outcome `json:"outcome"`
	RetryAt string  `json:"retry_at,omitempty"`
}

// body returns the refusal as JSON.
func (r *refusal) body(identity string) []byte {
	message := r.message
	if r.detail != "" {
		message += " " + r.detail
	}
	detail := errorDetail{Type: r.kind, Code: r.code, Message: message, Request: identity, Outcome: r.outcome}
	if !r.retryAt.IsZero() {
		detail.RetryAt = r.retryAt.UTC().Format(time.RFC3339Nano)
	}
	// The struct holds only text, so that Marshal cannot fail.
	raw, _ := json.Marshal(errorBody{detail})
	return raw
}

// write answers with the refusal.
func (r *refusal) write(w http.ResponseWriter, identity string, now time.Time) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if identity != "" {
		header.Set(RequestHeader, identity)
	}
	if r.retryAt.IsZero() {
		header.Set("X-Should-Retry", "false")
	} else {
		header.Set("Retry-After", strconv.Itoa(wholeSeconds(r.retryAt.Sub(now))))
	}
	w.WriteHeader(r.status)
	// A failed write means that the caller is gone.
	_, _ = w.Write(r.body(identity))
	_ = http.NewResponseController(w).Flush()
}

// wholeSeconds rounds d up to seconds, at least one.
func wholeSeconds(d time.Duration) int {
	return max(1, int((d+time.Second-1)/time.Second))
}
