package kcwadmin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func start(t *testing.T, cfg Config) *Server {
	t.Helper()
	cfg.Address = loopback
	server, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Start(context.Background()) }()
	t.Cleanup(func() {
		if err := server.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return server
}

func TestServer(t *testing.T) {
	type state struct{ Revision int }
	server := start(t, Config{
		OperatorKey: "op-key",
		Ready:       func() error { return errors.New("no answer from the ledger") },
		Metrics:     http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "kcw_up 1") }),
		Dump:        func(context.Context) any { return state{Revision: 7} },
	})
	keyless := start(t, Config{Dump: func(context.Context) any { return state{Revision: 7} }})

	for _, test := range []struct {
		server     *Server
		path, auth string
		status     int
		body       string
	}{
		{server, HealthPath, "", 200, "ok"},
		{server, ReadyPath, "", 503, "no answer from the ledger"},
		{server, MetricsPath, "", 200, "kcw_up 1"},
		{server, DumpPath, "", 401, "operator key required"},
		{server, DumpPath, "Bearer op-kez", 401, "operator key required"},
		{server, DumpPath, "op-key", 401, "operator key required"},
		{server, DumpPath, "Bearer op-key", 200, `"Revision": 7`},
		{keyless, ReadyPath, "", 200, "ok"},
		{keyless, DumpPath, "Bearer ", 401, "operator key required"},
		{keyless, MetricsPath, "", 404, ""},
	} {
		request, err := http.NewRequest("GET", "http://"+test.server.Address().String()+test.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		if test.auth != "" {
			request.Header.Set("Authorization", test.auth)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != test.status || !strings.Contains(string(body), test.body) {
			t.Errorf("%s with %q: got %d %q %v, want %d %q", test.path, test.auth, response.StatusCode, body, err, test.status, test.body)
		}
	}
}

func TestAddressTaken(t *testing.T) {
	server := start(t, Config{})
	_, err := New(Config{Address: server.Address()})
	var typed *Error
	if !errors.As(err, &typed) || typed.Kind != Listen {
		t.Errorf("got %v, want kind Listen", err)
	}
}
