package kcwengine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw-standin/kcwfault"
	"kingcupwick.example/kcw-standin/kcwrecord"
)

// fixture is an Engine behind an HTTP server, with its record and its faults.
type fixture struct {
	engine *Engine
	server *httptest.Server
	record *kcwrecord.Record
	faults *kcwfault.Injector
}

func newFixture(t *testing.T, cfg Config) *fixture {
	t.Helper()
	f := &fixture{record: kcwrecord.New(nil), faults: kcwfault.New(nil)}
	cfg.Models, cfg.Record, cfg.Faults = []string{"kcw-model"}, f.record, f.faults
	if cfg.Capacity == 0 {
		cfg.Capacity = 4
	}
	f.engine = New(cfg)
	f.server = httptest.NewServer(f.engine)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fixture) post(ctx context.Context, body string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, "POST", f.server.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set(kcwrecord.RequestHeader, "r-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), err
}

func (f *fixture) lastEntry() kcwrecord.Entry {
	entries := f.record.Entries()
	return entries[len(entries)-1]
}

// closedEntry returns the last entry once it is closed.
func (f *fixture) closedEntry() kcwrecord.Entry {
	for f.lastEntry().Outcome == kcwrecord.Running {
		time.Sleep(time.Millisecond)
	}
	return f.lastEntry()
}

const (
	jsonBody   = `{"model":"kcw-model","messages":[{"role":"user","content":"oak tokens=20"}],"max_tokens":12}`
	streamBody = `{"model":"kcw-model","messages":[{"role":"user","content":[{"type":"text","text":"oak tokens=20"}]}],"stream":true,"stream_options":{"include_usage":true}}`
)

func TestAnswers(t *testing.T) {
	f := newFixture(t, Config{})
	status, answer, err := f.post(t.Context(), jsonBody)
	if err != nil || status != 200 {
		t.Fatal(status, err)
	}
	var response completion
	if err := json.Unmarshal([]byte(answer), &response); err != nil {
		t.Fatal(err)
	}
	text := response.Choices[0].Message.Content
	if *response.Choices[0].FinishReason != "length" || response.Usage.CompletionTokens != 12 || strings.Count(text, " ") != 12 {
		t.Errorf("the token limit was not applied: %s", answer)
	}
	entry := f.closedEntry()
	if entry.Outcome != kcwrecord.Finished || entry.AnswerDigest != kcwrecord.Digest([]byte(answer)) ||
		entry.TextDigest != kcwrecord.Digest([]byte(text)) || entry.Request != "r-1" || entry.CompletionTokens != 12 {
		t.Errorf("record: %+v", entry)
	}

	_, streamed, err := f.post(t.Context(), streamBody)
	if err != nil || !strings.HasSuffix(streamed, "data: [DONE]\n\n") {
		t.Fatalf("stream: %v\n%s", err, streamed)
	}
	streamedText, lastUsage := readStream(t, streamed)
	if !strings.HasPrefix(streamedText, text) || strings.Count(streamedText, " ") != 20 || lastUsage == nil || lastUsage.CompletionTokens != 20 {
		t.Errorf("streamed text %q, text without streaming %q, usage %+v", streamedText, text, lastUsage)
	}
	if _, repeated, _ := f.post(t.Context(), streamBody); repeated != streamed {
		t.Error("the same prompt got a different answer")
	}
}

func readStream(t *testing.T, body string) (text string, lastUsage *usage) {
	t.Helper()
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found || data == "[DONE]" {
			continue
		}
		var chunk completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatal(err)
		}
		for _, c := range chunk.Choices {
			text += c.Delta.Content
		}
		if chunk.Usage != nil {
			lastUsage = chunk.Usage
		}
	}
	return text, lastUsage
}

func TestFaults(t *testing.T) {
	for _, test := range []struct {
		name, body string
		faults     kcwfault.Config
		status     int
		outcome    string
		tokens     int64
		broken     bool
	}{
		{"status", jsonBody, kcwfault.Config{Status: 500}, 500, kcwrecord.Refused, 0, false},
		{"drain", jsonBody, kcwfault.Config{Drain: true}, 503, kcwrecord.Refused, 0, false},
		{"badJSON", "{", kcwfault.Config{}, 400, kcwrecord.Refused, 0, false},
		{"noModel", `{"model":"x","messages":[{"role":"user","content":null}]}`, kcwfault.Config{}, 404, kcwrecord.Refused, 0, false},
		{"short", jsonBody, kcwfault.Config{ShortBody: true}, 200, kcwrecord.Broken, 12, true},
		{"cut", streamBody, kcwfault.Config{CutAfter: 3}, 200, kcwrecord.Broken, 3, true},
		{"otherPath", jsonBody, kcwfault.Config{Path: "/bookings", Status: 500}, 200, kcwrecord.Finished, 12, false},
		{"late", jsonBody, kcwfault.Config{Late: "1ms", Delay: "1ms", NoUsage: true}, 200, kcwrecord.Finished, 12, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, Config{})
			if err := f.faults.Set(test.faults); err != nil {
				t.Fatal(err)
			}
			status, answer, err := f.post(t.Context(), test.body)
			if status != test.status || (err != nil) != test.broken {
				t.Errorf("got %d %q %v", status, answer, err)
			}
			if entry := f.closedEntry(); entry.Outcome != test.outcome || entry.CompletionTokens != test.tokens {
				t.Errorf("record: %+v", entry)
			}
			if test.faults.NoUsage && strings.Contains(answer, "usage") {
				t.Errorf("usage in %s", answer)
			}
		})
	}
}

// TestPause checks that an answer with a pause has the same bytes, that it lasts as long as the
// pause, and that its part before the pause doesn't wait for it.
func TestPause(t *testing.T) {
	const pause = 50 * time.Millisecond
	for _, test := range []struct {
		name, body string
		pauseAfter int
	}{
		{"before a stream", streamBody, 0},
		{"in a stream", streamBody, 3},
		{"before an answer", jsonBody, 0},
		{"in an answer", jsonBody, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, Config{})
			_, want, err := f.post(t.Context(), test.body)
			if err != nil {
				t.Fatal(err)
			}
			if err := f.faults.Set(kcwfault.Config{Pause: pause.String(), PauseAfter: test.pauseAfter}); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			status, answer, err := f.post(t.Context(), test.body)
			if status != http.StatusOK || answer != want || err != nil {
				t.Errorf("got %d, %q and error %v, want %q", status, answer, err, want)
			}
			if elapsed := time.Since(start); elapsed < pause {
				t.Errorf("the answer took %v, shorter than the pause", elapsed)
			}
			if entry := f.closedEntry(); entry.Outcome != kcwrecord.Finished || entry.AnswerDigest != kcwrecord.Digest([]byte(want)) {
				t.Errorf("record: %+v", entry)
			}
		})
	}
}

// An answer that would pause for an hour has sent its first part.
func TestPartBeforePauseIsSent(t *testing.T) {
	for _, body := range []string{streamBody, jsonBody} {
		f := newFixture(t, Config{})
		if err := f.faults.Set(kcwfault.Config{Pause: "1h", PauseAfter: 3}); err != nil {
			t.Fatal(err)
		}
		ctx, disconnect := context.WithCancel(t.Context())
		request, err := http.NewRequestWithContext(ctx, "POST", f.server.URL+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bufio.NewReader(response.Body).Peek(1); err != nil {
			t.Error(err)
		}
		disconnect()
		_ = response.Body.Close()
		if entry := f.closedEntry(); entry.Outcome != kcwrecord.Cancelled {
			t.Errorf("record: %+v", entry)
		}
	}
}

func TestCancel(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults kcwfault.Config
	}{
		{"silent", kcwfault.Config{Silent: true}},
		{"silentAfter", kcwfault.Config{SilentAfter: 2}},
		{"running", kcwfault.Config{Delay: "1h"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, Config{})
			if err := f.faults.Set(test.faults); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				for len(f.record.Entries()) == 0 {
					time.Sleep(time.Millisecond)
				}
				cancel()
			}()
			if _, _, err := f.post(ctx, streamBody); !errors.Is(err, context.Canceled) {
				t.Errorf("got %v", err)
			}
			if entry := f.closedEntry(); entry.Outcome != kcwrecord.Cancelled {
				t.Errorf("record: %+v", entry)
			}
		})
	}
}

// disconnectingWriter cancels the request's context at the first write, as a
// server does when the caller disconnects.
type disconnectingWriter struct {
	*httptest.ResponseRecorder
	cancel context.CancelFunc
}

// Write writes p and then cancels the request.
func (w disconnectingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseRecorder.Write(p)
	w.cancel()
	return n, err
}

// TestCallerLeavesAtFirstToken checks that a stream is recorded as cancelled if
// its caller disconnects between two tokens.
func TestCallerLeavesAtFirstToken(t *testing.T) {
	f := newFixture(t, Config{})
	ctx, cancel := context.WithCancel(t.Context())
	r := httptest.NewRequestWithContext(ctx, "POST", "/v1/chat/completions", strings.NewReader(streamBody))
	f.engine.ServeHTTP(disconnectingWriter{httptest.NewRecorder(), cancel}, r)
	if entry := f.lastEntry(); entry.Outcome != kcwrecord.Cancelled || entry.CompletionTokens != 1 {
		t.Errorf("record: %+v", entry)
	}
}

func TestBatchPriority(t *testing.T) {
	b := newBatch(1, 0, time.Now)
	if err := b.acquire(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	order := make(chan int, 4)
	for i, priority := range []int{5, 1, 5, 0} {
		go func() {
			if b.acquire(t.Context(), priority) == nil {
				order <- i
				b.release()
			}
		}()
		for {
			if _, waiting := b.load(); waiting == i+1 {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if b.acquire(ctx, 0) == nil {
		t.Error("a cancelled request got a slot")
	}
	b.release()
	var got []int
	for range 4 {
		got = append(got, <-order)
	}
	if !slices.Equal(got, []int{3, 1, 0, 2}) {
		t.Errorf("got %v", got)
	}
}

func TestLoadLag(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBatch(2, time.Second, func() time.Time { return now })
	for _, test := range []struct {
		step    time.Duration
		enter   bool
		running int
	}{
		{0, true, 0},
		{900 * time.Millisecond, true, 0},
		{100 * time.Millisecond, false, 1},
		{900 * time.Millisecond, false, 2},
	} {
		now = now.Add(test.step)
		if test.enter {
			if err := b.acquire(t.Context(), 0); err != nil {
				t.Fatal(err)
			}
		}
		if running, _ := b.load(); running != test.running {
			t.Errorf("at %v: got %d running, want %d", now, running, test.running)
		}
	}
}
