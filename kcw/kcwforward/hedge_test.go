package kcwforward_test

import (
	"net/http"
	"testing"
	"time"
)

// The first attempt is refused while the hedge beside it is silent too.
func TestRequestDoesNotStayAtSilentHedge(t *testing.T) {
	f := newSilenceFixture(t, 3, repeatable, shortSilence, func(e *exchange) {
		switch e.number {
		case 1:
			time.Sleep(pauseTime)
			e.answer(http.StatusServiceUnavailable, "Not-Run: 1\r\n", "full")
		case 2:
		default:
			good(e)
		}
	})
	if response, body, _ := f.call(t, http.MethodPost, ""); response.StatusCode != http.StatusOK || body != "whole" {
		t.Errorf("got %d, %q after %d sends, want the answer of the third upstream", response.StatusCode, body, f.arrivals())
	}
}
