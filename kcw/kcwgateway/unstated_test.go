package kcwgateway

import (
	"io"
	"net/http"
	"testing"
)

// TestUnstatedRefusalIsNotPassedOn guards against callers that send a call that must not run twice
// once more, because they got an upstream's status for a request that has not run although the
// upstream did not state that.
func TestUnstatedRefusalIsNotPassedOn(t *testing.T) {
	const body, usage = "upstream's", `{"error":{},"usage":{"total_tokens":4}}`
	noRepeat := map[string]string{NoRepeatHeader: "true"}
	for _, test := range []struct {
		name, service string
		call          call
		status        int
		body          string
		isPassedOn    bool
		billed        int64
	}{
		{"plain service, by the contract", "app", call{path: "/services/app/deposits", body: "5"}, 503, body, false, 0},
		{"plain service, by the header", "app", call{path: "/services/app/visits", body: "5", header: noRepeat}, 429, body, false, 0},
		{"plain service, timeout", "app", call{path: "/services/app/deposits", body: "5"}, 408, body, false, 0},
		{"plain service, misdirected", "app", call{path: "/services/app/deposits", body: "5"}, 421, body, false, 0},
		{"engine", "engine", call{body: chatBody, header: noRepeat}, 503, usage, false, 4},
		{"engine, stream", "engine", call{body: streamBody, header: noRepeat}, 429, usage, false, 4},
		{"repeatable", "app", call{path: "/services/app/visits", body: "5"}, 408, body, true, 0},
		{"plain service, failure", "app", call{path: "/services/app/deposits", body: "5"}, 500, body, true, 0},
		{"plain service, conflict", "app", call{path: "/services/app/deposits", body: "5"}, 409, body, true, 0},
	} {
		for _, identity := range []string{"", "i"} {
			l := newLedger(t, "r1")
			upstream := &engine{before: func(w http.ResponseWriter, _ *http.Request) bool {
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
				return true
			}}
			f := startGateway(t, l, "r1", map[string][]http.Handler{test.service: {upstream, upstream}}, nil)
			depositRetries(f, test.service)
			test.call.identity = identity
			r := f.do(test.call)
			switch {
			case test.isPassedOn && (r.status != test.status || r.body != test.body):
				t.Errorf("%s: got %d %q, want the upstream's answer", test.name, r.status, r.body)
			case !test.isPassedOn && (r.status != http.StatusBadGateway || r.header.Get("Retry-After") != "" || r.header.Get("X-Should-Retry") != "false"):
				t.Errorf("%s: got %d with %v, want 502", test.name, r.status, r.header)
			case !test.isPassedOn:
				checkRefusal(t, r, codeUpstreamFailed, unknown)
			}
			if identity != "" {
				if again := f.do(test.call); again.status != r.status || again.body != r.body || again.header.Get("Retry-After") != "" {
					t.Errorf("%s: a retry got %d %q, want %d %q", test.name, again.status, again.body, r.status, r.body)
				}
			}
			if got := upstream.runs.Load(); got != 1 {
				t.Errorf("%s, identity %q: ran %d times", test.name, identity, got)
			}
			l.checkBudget(t, "pew", test.billed, 0)
		}
	}
}
