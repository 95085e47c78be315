package proof

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupwick.example/kcw-demo/kcwaudit"
	"kingcupwick.example/kcw-standin/kcwrecord"
)

// caller sends requests and records the outcome of each.
type caller struct {
	fleet *fleet
	mu    sync.Mutex
	calls []kcwaudit.Call
	// refusalOutcomes holds the outcome stated in the last refusal of each
	// request, by request identity.
	refusalOutcomes map[string]string
}

// send makes one call through a router and records it. If onResponse is not nil,
// it is called once the response headers have arrived.
func (c *caller) send(t *testing.T, router int, request string, spec requestSpec, onResponse func()) kcwaudit.Call {
	result := kcwaudit.Call{Customer: customer, Request: request, Outcome: kcwaudit.Broken, IsPlain: spec.isPlain, IsOnce: spec.isOnce, Cost: cost}
	result.Outcome, result.Digest = c.roundTrip(t, router, request, spec, onResponse)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, result)
	return result
}

// retryUntilWhole sends the request through the routers in turn until it gets a
// complete answer. It fails the test if there is none within waitTimeout.
func (c *caller) retryUntilWhole(t *testing.T, router int, request string, spec requestSpec) kcwaudit.Call {
	return c.retry(t, router, 1, request, spec)
}

// retryUntilWholeAt is like retryUntilWhole, but uses one router only.
func (c *caller) retryUntilWholeAt(t *testing.T, router int, request string, spec requestSpec) kcwaudit.Call {
	return c.retry(t, router, 0, request, spec)
}

func (c *caller) retry(t *testing.T, router, step int, request string, spec requestSpec) kcwaudit.Call {
	const pause = 200 * time.Millisecond
	var last kcwaudit.Call
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pause) {
		last = c.send(t, router%routers, request, spec, nil)
		if last.Outcome == kcwaudit.Whole {
			return last
		}
		router += step
	}
	t.Errorf("%s got no complete answer: %+v", request, last)
	return last
}

// requestSpec describes a request to send.
type requestSpec struct {
	path, body      string
	isPlain, isOnce bool
}

// completion returns a chat request without streaming whose answer has the given
// number of tokens, stream one with streaming. receipt returns a call to the
// plain service that must not run twice.
func completion(tokens int) requestSpec { return chat(tokens, false) }
func stream(tokens int) requestSpec     { return chat(tokens, true) }

func chat(tokens int, isStream bool) requestSpec {
	return requestSpec{path: "/v1/chat/completions", body: fmt.Sprintf(
		`{"model":"kcw-model","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"tokens=%d"}]}`, isStream, tokens+1, tokens)}
}

func receipt(donor string) requestSpec {
	return requestSpec{path: "/services/parish-desk/receipts", body: fmt.Sprintf(`{"Donor":%q}`, donor), isPlain: true, isOnce: true}
}

// roundTrip sends a request and returns its outcome and, if that is Whole, the
// digest of the answer.
func (c *caller) roundTrip(t *testing.T, router int, request string, spec requestSpec, onResponse func()) (outcome, digest string) {
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	url := "http://" + c.fleet.address(20+router, 0).String() + spec.path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(spec.body))
	if err != nil {
		t.Error(err)
		return kcwaudit.Broken, ""
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Idempotency-Key", request)
	r.Header.Set("Content-Type", "application/json")
	// Each call dials a new connection, so that none remains of a killed router.
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return kcwaudit.Broken, ""
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return c.recordRefusal(request, response.Body), ""
	}
	if onResponse != nil {
		onResponse()
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(response.Body)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return kcwaudit.Broken, ""
	}
	if spec.isPlain {
		return kcwaudit.Whole, kcwrecord.Digest(body)
	}
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if json.Unmarshal(body, &answer) != nil || len(answer.Choices) != 1 {
		t.Errorf("%s: malformed answer: %s", request, body)
		return kcwaudit.Broken, ""
	}
	return kcwaudit.Whole, kcwrecord.Digest([]byte(answer.Choices[0].Message.Content))
}

// recordRefusal stores the outcome that a refusal states for the request and
// returns the call's outcome.
func (c *caller) recordRefusal(request string, body io.Reader) string {
	var refusal struct{ Error struct{ Outcome string } }
	if json.NewDecoder(body).Decode(&refusal) != nil {
		return kcwaudit.Broken
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusalOutcomes == nil {
		c.refusalOutcomes = map[string]string{}
	}
	c.refusalOutcomes[request] = refusal.Error.Outcome
	if refusal.Error.Outcome == "not-run" {
		return kcwaudit.NotRun
	}
	return kcwaudit.Broken
}

// readStream reads events up to the [DONE] event. Without that event the outcome
// is Broken.
func readStream(body io.Reader) (outcome, digest string) {
	text := ""
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if data == "[DONE]" {
			return kcwaudit.Whole, kcwrecord.Digest([]byte(text))
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if !found || json.Unmarshal([]byte(data), &chunk) != nil {
			continue
		}
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
	}
	return kcwaudit.Broken, ""
}
