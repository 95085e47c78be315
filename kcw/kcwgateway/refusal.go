package kcwgateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// The headers defined by this gateway.
const (
	// RequestHeader carries the request identity in every response.
	RequestHeader = "Kcw-Request"
	// NoRepeatHeader, if "true", marks a request that must not be repeated.
	NoRepeatHeader = "Kcw-No-Repeat"
	// ReplayedHeader marks an answer that was stored by an earlier attempt.
	ReplayedHeader = "Kcw-Replayed"
	// customerHeader and attemptHeader carry the customer of the request and the
	// number of the attempt to an upstream.
	customerHeader = "Kcw-Customer"
	attemptHeader  = "Kcw-Attempt"
)

// outcome states in a refusal whether the request ran.
type outcome string

const (
	notRun  outcome = "not-run"
	ran     outcome = "ran"
	unknown outcome = "unknown"
)

// code is the code of a refusal. The codes are part of the API and don't change.
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
	codeMemoryFull           code = "memory_full"
	codeNoUpstream           code = "no_upstream"
	codeLedgerUnavailable    code = "ledger_unavailable"
	codeContractsUnavailable code = "contracts_unavailable"
	codeRouterDraining       code = "router_draining"
	codeRouterFenced         code = "router_fenced"
	codeInProgress           code = "request_in_progress"
	codeIdentityReused       code = "identity_reused"
	codeOutcomeUnknown       code = "outcome_unknown"
	codeAnswerGone           code = "answer_gone"
	codeAnswerUnreachable    code = "answer_unreachable"
	codeUpstreamFailed       code = "upstream_failed"
	codeUpstreamSilent       code = "upstream_silent"
	codeAnswerTooLarge       code = "answer_too_large"
	codeBoundPassed          code = "bound_passed"
	codeNotDurable           code = "bill_not_durable"
	codeCallerGone           code = "caller_gone"
)

// refusalSpec holds the fixed properties of one refusal code.
type refusalSpec struct {
	code      code
	status    int
	errorType string
	outcome   outcome
	message   string
	// retryAfter is the time to wait before a retry, or zero if no retry can
	// succeed.
	retryAfter time.Duration
}

const (
	shortWait          = time.Second
	longWait           = 5 * time.Second
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typePermission     = "permission_error"
	typeQuota          = "insufficient_quota"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// refusalSpecs lists all refusal codes.
var refusalSpecs = []refusalSpec{
	{codeMalformedBody, http.StatusBadRequest, typeInvalidRequest, notRun, "The body is not a valid request.", 0},
	{codeBodyTooLarge, http.StatusRequestEntityTooLarge, typeInvalidRequest, notRun, "The body is too large.", 0},
	{codeUnsupported, http.StatusBadRequest, typeInvalidRequest, notRun, "A parameter is not supported.", 0},
	{codeTooManyTokens, http.StatusBadRequest, typeInvalidRequest, notRun, "The request may take more tokens than the contract allows for one.", 0},
	{codeInvalidIdentity, http.StatusBadRequest, typeInvalidRequest, notRun, "The Idempotency-Key must have 1 to 128 visible ASCII characters.", 0},
	{codeUnknownKey, http.StatusUnauthorized, typeAuthentication, notRun, "The key is missing or belongs to no contract.", 0},
	{codeUnknownModel, http.StatusNotFound, typeInvalidRequest, notRun, "The contract has no such model.", 0},
	{codeNotPermitted, http.StatusForbidden, typePermission, notRun, "The contract does not permit this.", 0},
	{codeUnknownPath, http.StatusNotFound, typeInvalidRequest, notRun, "There is nothing at this path.", 0},
	{codeMethodNotAllowed, http.StatusMethodNotAllowed, typeInvalidRequest, notRun, "The path does not take this method.", 0},
	{codeBudgetExhausted, http.StatusPaymentRequired, typeQuota, notRun, "The prepaid budget does not cover the request.", 0},
	{codeLimitReached, http.StatusTooManyRequests, typeRateLimit, notRun, "A limit of the contract is reached.", shortWait},
	{codeQueueFull, http.StatusTooManyRequests, typeRateLimit, notRun, "The request cannot start before its deadline.", shortWait},
	{codeMemoryFull, http.StatusServiceUnavailable, typeServer, notRun, "The requests in progress hold all memory that they may.", shortWait},
	{codeNoUpstream, http.StatusServiceUnavailable, typeServer, notRun, "No upstream can take the request.", shortWait},
	{codeLedgerUnavailable, http.StatusServiceUnavailable, typeServer, notRun, "The budget cannot be confirmed now.", shortWait},
	{codeContractsUnavailable, http.StatusServiceUnavailable, typeServer, notRun, "The contract cannot be looked up now.", shortWait},
	{codeRouterDraining, http.StatusServiceUnavailable, typeServer, notRun, "This router is stopping.", shortWait},
	{codeRouterFenced, http.StatusServiceUnavailable, typeServer, notRun, "This router was replaced.", shortWait},
	{codeInProgress, http.StatusConflict, typeServer, unknown, "The same request is in progress.", shortWait},
	{codeIdentityReused, http.StatusUnprocessableEntity, typeInvalidRequest, notRun, "The Idempotency-Key belongs to another request.", 0},
	{codeOutcomeUnknown, http.StatusConflict, typeServer, unknown, "Whether the request ran is not known; it is not repeated.", 0},
	{codeAnswerGone, http.StatusConflict, typeServer, ran, "The request ran and its answer is no longer kept.", 0},
	{codeAnswerUnreachable, http.StatusGatewayTimeout, typeServer, ran, "The request ran; the router that keeps its answer does not respond.", longWait},
	{codeUpstreamFailed, http.StatusBadGateway, typeServer, unknown, "The upstream gave no whole answer.", longWait},
	{codeUpstreamSilent, http.StatusGatewayTimeout, typeServer, unknown, "The upstream made no progress.", longWait},
	{codeAnswerTooLarge, http.StatusBadGateway, typeServer, ran, "The answer is too large.", 0},
	{codeBoundPassed, http.StatusBadGateway, typeServer, ran, "The upstream passed the bound on tokens.", 0},
	{codeNotDurable, http.StatusBadGateway, typeServer, unknown, "The bill could not be made durable.", longWait},
	{codeCallerGone, 499, typeServer, unknown, "The caller went away.", longWait},
}

// refusal is an error response of the gateway itself.
type refusal struct {
	refusalSpec
	detail  string
	retryAt time.Time
}

// refuse returns the refusal with code c at the time now. Detail may be empty. It
// panics if refusalSpecs lacks the code.
func refuse(c code, now time.Time, detail string) *refusal {
	for _, spec := range refusalSpecs {
		if spec.code != c {
			continue
		}
		r := &refusal{refusalSpec: spec, detail: detail}
		if spec.retryAfter > 0 {
			r.retryAt = now.Add(spec.retryAfter)
		}
		return r
	}
	panic("kcwgateway: no refusal is specified for code " + string(c))
}

// withOutcome sets the outcome of r and returns r. If the request may have run and
// must not be repeated, no retry can succeed, so it also clears retryAt.
func (r *refusal) withOutcome(o outcome, repeatable bool) *refusal {
	r.outcome = o
	if !repeatable && o != notRun {
		r.retryAt = time.Time{}
	}
	return r
}

// withRetryAt sets the time from which a retry can succeed and returns r.
func (r *refusal) withRetryAt(at time.Time) *refusal {
	r.retryAt = at
	return r
}

// errorBody is the error format that client libraries expect.
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
	detail := errorDetail{Type: r.errorType, Code: r.code, Message: message, Request: identity, Outcome: r.outcome}
	if !r.retryAt.IsZero() {
		detail.RetryAt = r.retryAt.UTC().Format(time.RFC3339Nano)
	}
	// Marshal cannot fail, because the struct holds only strings.
	raw, _ := json.Marshal(errorBody{detail})
	return raw
}

// write writes the refusal as the response.
func (r *refusal) write(w http.ResponseWriter, identity string, now time.Time) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if identity != "" {
		header.Set(RequestHeader, identity)
	}
	if r.retryAt.IsZero() {
		header.Set("X-Should-Retry", "false")
	} else {
		header.Set("Retry-After", strconv.Itoa(roundUpSeconds(r.retryAt.Sub(now))))
	}
	w.WriteHeader(r.status)
	// A write fails only if the caller has disconnected.
	_, _ = w.Write(r.body(identity))
	_ = http.NewResponseController(w).Flush()
}

// roundUpSeconds rounds d up to whole seconds, at least one.
func roundUpSeconds(d time.Duration) int {
	return max(1, int((d+time.Second-1)/time.Second))
}
