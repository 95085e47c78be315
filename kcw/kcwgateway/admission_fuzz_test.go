package kcwgateway

import (
	"encoding/json"
	"net/http/httptest"
	"net/url"
	"path"
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwtoken"
)

// FuzzAdmitChat checks that every admitted request is bounded: the upstream gets
// exactly one token limit, and that limit is the reserved one.
func FuzzAdmitChat(f *testing.F) {
	for _, body := range []string{
		chatBody, streamBody,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"n":2}`,
		`{"model":"m","messages":[{"role":"user","content":"a","content":[]}],"max_tokens":1,"max_tokens":99999}`,
		`{"model":"m","messages":[{"content":"a"}],"stream":true,"stream_options":{"include_usage":true}}`,
		`{"model":"m","messages":[{"content":null,"tool_calls":[{"a":"<b>"}]}],"tools":[{}]}`,
		`{"model":"m","messages":[{"content":"a"}],"n":1e3}`, `[]`, `{}`, `null`,
	} {
		f.Add([]byte(body))
	}
	g := &Gateway{estimator: kcwtoken.New(kcwtoken.Config{})}
	contract := contractOf("pew")
	f.Fuzz(func(t *testing.T, body []byte) {
		req := &request{contract: contract}
		if g.admitChat(req, body, time.Time{}) != nil {
			return
		}
		var sent struct {
			Messages  []json.RawMessage `json:"messages"`
			MaxTokens int64             `json:"max_tokens"`
			N         *int64            `json:"n"`
		}
		if err := json.Unmarshal(req.body, &sent); err != nil {
			t.Fatalf("%q is sent: %v", req.body, err)
		}
		choices := int64(1)
		if sent.N != nil {
			choices = *sent.N
		}
		params := req.chat
		if sent.MaxTokens != params.perChoice || choices != params.choices || params.perChoice < 1 || params.perChoice > contract.Limits.MaxCompletionTokens {
			t.Fatalf("%q is sent for %+v", req.body, params)
		}
		if req.reservation != params.prompt+params.perChoice*params.choices || params.prompt < int64(len(sent.Messages)) {
			t.Fatalf("%d tokens are reserved for %q", req.reservation, req.body)
		}
	})
}

// FuzzPlainPath checks that a contract's rule for a path applies to every encoding of
// that path that is admitted.
func FuzzPlainPath(f *testing.F) {
	for _, p := range []string{
		"/services/app/deposits", "/services/app/x/../deposits", "/services/app//deposits",
		"/services/app/%2e%2e/deposits", "/services/app/x%2fdeposits", "/services/app/%64eposits", "/services/app/.",
	} {
		f.Add(p)
	}
	service, _ := contractOf("pew").Service("/services/app/x")
	f.Fuzz(func(t *testing.T, raw string) {
		u, err := url.ParseRequestURI(raw)
		if err != nil || u.Host != "" || !strings.HasPrefix(u.Path, servicesPath) {
			return
		}
		r := httptest.NewRequest("POST", "/", nil)
		r.URL = u
		if !isCanonicalPath(r) {
			return
		}
		resolved := path.Clean(u.Path)
		if strings.HasPrefix(resolved+"/", "/services/app/deposits/") && service.Repeatable(u.Path) {
			t.Fatalf("%q may be repeated", raw)
		}
	})
}
