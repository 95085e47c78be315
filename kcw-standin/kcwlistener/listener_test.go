package kcwlistener

import (
	"net/http"
	"net/netip"
	"testing"
	"time"
)

func TestListener(t *testing.T) {
	listener, err := New(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.NotFoundHandler()}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	client := &http.Client{}
	for _, test := range []struct {
		name           string
		refuse, ignore bool
		answers        bool
	}{
		{"open", false, false, true},
		{"refuse", true, false, false},
		{"open again", false, false, true},
		{"ignore", false, true, false},
		{"both", true, true, false},
		{"at last", false, false, true},
	} {
		client.CloseIdleConnections()
		client.Timeout = time.Minute
		if test.ignore {
			client.Timeout = 100 * time.Millisecond
		}
		if err := listener.Set(test.refuse, test.ignore); err != nil {
			t.Fatal(err)
		}
		response, err := client.Get("http://" + listener.Addr().String())
		if (err == nil) != test.answers {
			t.Errorf("%s: got %v", test.name, err)
		}
		if err == nil {
			response.Body.Close()
		}
	}
	if err := server.Close(); err != nil {
		t.Error(err)
	}
	if err := <-done; err != http.ErrServerClosed {
		t.Errorf("got %v", err)
	}
}
