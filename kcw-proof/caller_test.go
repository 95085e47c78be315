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

// caller sends requests and notes what each came to.
type caller struct {
	fleet *fleet
	mu    sync.Mutex
	calls []kcwaudit.Call
	// said is what the last refusal of each request said of it.
	said map[string]string
}

// send makes one call through a router and notes it. Began, if not nil, is
// called at the first byte of the answer.
func (c *caller) send(t *testing.T, router int, request string, call sort, began func()) kcwaudit.Call {
	made := kcwaudit.Call{Customer: customer, Request: request, Outcome: kcwaudit.Broken, IsPlain: call.isPlain, IsOnce: call.isOnce, Cost: cost}
	made.Outcome, made.Digest = c.exchange(t, router, request, call, began)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, made)
	return made
}

// insist sends the request through the routers in turn until it is answered
// whole, and fails the test if it never is.
func (c *caller) insist(t *testing.T, router int, request string, call sort) kcwaudit.Call {
	return c.repeat(t, router, 1, request, call)
}

// insistAt does so through one router alone.
func (c *caller) insistAt(t *testing.T, router int, request string, call sort) kcwaudit.Call {
	return c.repeat(t, router, 0, request, call)
}

func (c *caller) repeat(t *testing.T, router, step int, request string, call sort) kcwaudit.Call {
	const pause = 200 * time.Millisecond
	var last kcwaudit.Call
	for deadline := time.Now().Add(bound); time.Now().Before(deadline); time.Sleep(pause) {
		last = c.send(t, router%routers, request, call, nil)
		if last.Outcome == kcwaudit.Whole {
			return last
		}
		router += step
	}
	t.Errorf("%s was never answered whole: %+v", request, last)
	return last
}

// sort is what is asked for.
type sort struct {
	path, body      string
	isPlain, isOnce bool
}

// ask is for an answer in one piece, stream for events, each of that many
// tokens; receipt must not run twice.
func ask(tokens int) sort    { return chat(tokens, false) }
func stream(tokens int) sort { return chat(tokens, true) }

func chat(tokens int, isStream bool) sort {
	return sort{path: "/v1/chat/completions", body: fmt.Sprintf(
		`{"model":"kcw-model","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"tokens=%d"}]}`, isStream, tokens+1, tokens)}
}

func receipt(donor string) sort {
	return sort{path: "/services/parish-desk/receipts", body: fmt.Sprintf(`{"Donor":%q}`, donor), isPlain: true, isOnce: true}
}

// exchange returns what the call came to and, if whole, the answer's digest.
func (c *caller) exchange(t *testing.T, router int, request string, call sort, began func()) (outcome, digest string) {
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	url := "http://" + c.fleet.at(20+router, 0).String() + call.path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(call.body))
	if err != nil {
		t.Error(err)
		return kcwaudit.Broken, ""
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Idempotency-Key", request)
	r.Header.Set("Content-Type", "application/json")
	// A connection for each call, so that none is left over from a dead router.
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return kcwaudit.Broken, ""
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return c.refusalOf(request, response.Body), ""
	}
	if began != nil {
		began()
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(response.Body)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return kcwaudit.Broken, ""
	}
	if call.isPlain {
		return kcwaudit.Whole, kcwrecord.Digest(body)
	}
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if json.Unmarshal(body, &answer) != nil || len(answer.Choices) != 1 {
		t.Errorf("%s: an answer of the wrong form: %s", request, body)
		return kcwaudit.Broken, ""
	}
	return kcwaudit.Whole, kcwrecord.Digest([]byte(answer.Choices[0].Message.Content))
}

// refusalOf returns what a refusal comes to and notes what it says.
func (c *caller) refusalOf(request string, body io.Reader) string {
	var refusal struct{ Error struct{ Outcome string } }
	if json.NewDecoder(body).Decode(&refusal) != nil {
		return kcwaudit.Broken
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.said == nil {
		c.said = map[string]string{}
	}
	c.said[request] = refusal.Error.Outcome
	if refusal.Error.Outcome == "not-run" {
		return kcwaudit.NotRun
	}
	return kcwaudit.Broken
}

// readStream reads events up to the terminator; without it the answer is
// broken.
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
