package kcwcontrol

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwserve"
)

// TestParseLimit guards against documents whose parts fill the memory of the smallest host, and
// against refusals of documents of the design size, also of several at once.
func TestParseLimit(t *testing.T) {
	const megabytes, budgets, routes = 112, 27000, 3000
	limit := newParseLimit(kcwserve.Host{MemoryMB: megabytes})
	large := []byte(strings.Repeat(`{"name":"r-1","host":"h.example","prefix":"/a/","kind":"stream","timeout":1,"target":1,"priority":0,"service":"s","attempts":1},`, routes) +
		strings.Repeat(`{"name":"team-10000","keys":["key-of-team-10000"],"priority":1,"prepaid":1000000},`, budgets))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var releases []func()
	for range 2 {
		release, refused := limit.acquire(ctx, large)
		if refused != nil {
			t.Fatalf("a document of %d bytes: %s", len(large), refused.text)
		}
		releases = append(releases, release)
		release()
	}
	// A second release has no effect.
	releases[0]()
	if _, refused := limit.acquire(ctx, []byte(strings.Repeat("{},", 1<<20))); refused == nil || refused.status != http.StatusRequestEntityTooLarge {
		t.Errorf("a document of very many parts: %+v", refused)
	}
	release, refused := limit.acquire(ctx, large)
	if refused != nil {
		t.Fatal(refused.text)
	}
	defer release()
	ended, end := context.WithCancel(t.Context())
	end()
	if _, refused := limit.acquire(ended, []byte(strings.Repeat("{},", 100000))); refused == nil || refused.status != http.StatusServiceUnavailable {
		t.Errorf("beside another document: %+v", refused)
	}
}
