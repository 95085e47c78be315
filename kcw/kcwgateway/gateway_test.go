package kcwgateway

import (
	"net/http"
	"strings"
	"testing"
)

func TestWholePath(t *testing.T) {
	l := newLedger(t, "r1")
	e := &engine{words: []string{"ab", "cd", "ef"}}
	app := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(r.Method + " " + r.URL.RequestURI()))
	})
	f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {e}, "app": {app}}, nil)

	r := f.do(call{body: chatBody, identity: "json"})
	if r.status != 200 || !strings.Contains(r.body, "abcdef") || r.header.Get(RequestHeader) != "json" || r.err != nil {
		t.Errorf("JSON: %+v", r)
	}
	l.checkBudget(t, "pew", 6, 0)

	r = f.do(call{body: streamBody})
	words, done := contentOf(r.body)
	if r.status != 200 || words != "abcdef" || !done || strings.Contains(r.body, "usage") || r.err != nil {
		t.Errorf("stream: %+v", r)
	}
	l.checkBudget(t, "pew", 12, 0)

	r = f.do(call{path: "/services/app/visits?x=1", body: "b"})
	if r.status != 200 || r.body != "POST /visits?x=1" {
		t.Errorf("plain service: %+v", r)
	}
	l.checkBudget(t, "pew", 17, 0)

	r = f.do(call{method: "GET", path: modelsPath})
	if r.status != 200 || !strings.Contains(r.body, `"id":"m"`) {
		t.Errorf("models: %+v", r)
	}
}

// TestRequestLinesOfServices checks the request that an upstream of a plain service
// receives, and which parts of its response are forwarded.
func TestRequestLinesOfServices(t *testing.T) {
	l := newLedger(t, "r1")
	app := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Kcw-Seen", r.Header.Get("Kcw-Customer")+" "+r.Header.Get("Kcw-Attempt")+" "+r.Header.Get("X-Own"))
		w.Header().Set("Keep-Alive", "timeout=5")
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write([]byte(r.Method + " " + r.URL.RequestURI()))
	})
	f := startGateway(t, l, "r1", map[string][]http.Handler{"app": {app}}, nil)
	for _, test := range []struct{ method, path, want string }{
		{"GET", "/services/app", "GET /"},
		{"GET", "/services/app/a%20b?q=%2f", "GET /a%20b?q=%2f"},
		{"POST", "/services/app/a/", "POST /a/"},
	} {
		r := f.do(call{method: test.method, path: test.path, header: map[string]string{"X-Own": "own"}})
		if r.status != http.StatusTeapot || r.body != test.want || r.header.Get("Kcw-Seen") != "pew 1 own" || r.header.Get("Keep-Alive") != "" {
			t.Errorf("%s %s: %+v", test.method, test.path, r)
		}
	}
	l.checkBudget(t, "pew", 0, 0)
}
