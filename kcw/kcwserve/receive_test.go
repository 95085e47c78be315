package kcwserve_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwserve"
)

// TestReceive guards against handlers that get a body which is not whole, and against messages
// that are refused although they are within the limit.
func TestReceive(t *testing.T) {
	const limit = 1 << 16
	account := kcwmemory.New(4 * limit)
	var got []byte
	server := httptest.NewServer(kcwserve.Receive(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got, _ = io.ReadAll(r.Body)
		if account.Held() < int64(len(got)) {
			t.Errorf("%d bytes are held for a body of %d", account.Held(), len(got))
		}
	}), account, limit))
	defer server.Close()
	for _, test := range []struct {
		name     string
		bytes    int
		isChunks bool
		encoding string
		want     int
	}{
		{"empty", 0, false, "", http.StatusOK},
		{"with a length", 5000, false, "", http.StatusOK},
		{"in chunks", 5000, true, "", http.StatusOK},
		{"at the limit", limit, false, "", http.StatusOK},
		{"at the limit, in chunks", limit, true, "", http.StatusOK},
		{"above the limit", limit + 1, false, "", http.StatusRequestEntityTooLarge},
		{"above the limit, in chunks", limit + 1, true, "", http.StatusRequestEntityTooLarge},
		{"compressed", 5000, false, "gzip", http.StatusUnsupportedMediaType},
	} {
		body := strings.Repeat("x", test.bytes)
		var reader io.Reader = strings.NewReader(body)
		if test.isChunks {
			reader = io.MultiReader(reader)
		}
		request, err := http.NewRequest(http.MethodPost, server.URL, reader)
		if err != nil {
			t.Fatal(err)
		}
		if test.encoding != "" {
			request.Header.Set("Content-Encoding", test.encoding)
		}
		got = nil
		response, err := server.Client().Do(request)
		if err != nil {
			t.Errorf("%s: %v", test.name, err)
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode != test.want || test.want == http.StatusOK && !bytes.Equal(got, []byte(body)) {
			t.Errorf("%s: status %d and %d bytes, want %d and %d", test.name, response.StatusCode, len(got), test.want, test.bytes)
		}
	}
	if account.Held() != 0 {
		t.Errorf("%d bytes are held", account.Held())
	}
}

// TestBound checks the bounds of the smallest host: more connections than ordinary callers keep,
// and descriptors left for connections to upstreams.
func TestBound(t *testing.T) {
	host := kcwserve.Host{MemoryMB: 144, MaxDescriptors: 3075}
	got := host.Bound(kcwserve.Share{Descriptors: 0.55, ConnsPerMB: 11, Memory: 0.1}, 1)
	if got.MaxConns < 1500 || got.MaxConns > (3075-200)*3/5 || got.MaxHeldBytes != 144<<20/10 {
		t.Errorf("got %d connections and %d bytes", got.MaxConns, got.MaxHeldBytes)
	}
	if got := (kcwserve.Host{MemoryMB: 16}).Bound(kcwserve.Share{Descriptors: 0.01, ConnsPerMB: 0.1, Memory: 0.1}, 1); got.MaxConns < 32 {
		t.Errorf("got %d connections", got.MaxConns)
	}
}
