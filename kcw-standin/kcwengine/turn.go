package kcwengine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"net/http"
	"slices"
	"strconv"
	"time"

	"kingcupwick.example/kcw-standin/kcwfault"
	"kingcupwick.example/kcw-standin/kcwrecord"
)

const drainRetryAfter = "1"

// turn is one chat request on its way through the engine.
type turn struct {
	engine  *Engine
	writer  http.ResponseWriter
	request *http.Request
	chat    *chatRequest
	plan    plan
	faults  kcwfault.Config
	answer  hash.Hash
	entry   kcwrecord.Entry
}

// fill copies what the turn came to into its entry of the record.
func (t *turn) fill(entry *kcwrecord.Entry) {
	entry.Outcome = t.entry.Outcome
	entry.Status = t.entry.Status
	entry.PromptTokens = t.entry.PromptTokens
	entry.CompletionTokens = t.entry.CompletionTokens
	if t.answer != nil {
		entry.AnswerDigest = hex.EncodeToString(t.answer.Sum(nil))
	}
	if t.entry.PromptTokens > 0 {
		entry.TextDigest = kcwrecord.Digest(t.plan.text(t.entry.CompletionTokens))
	}
}

func (t *turn) run(body []byte) {
	t.faults = t.engine.cfg.Faults.Take(t.request.URL.Path)
	if !t.admit(body) {
		return
	}
	ctx := t.request.Context()
	if !sleep(ctx, kcwfault.Duration(t.faults.Delay)) || t.engine.batch.enter(ctx, t.chat.Priority) != nil {
		t.entry.Outcome = kcwrecord.Cancelled
		return
	}
	defer t.engine.batch.leave()
	t.entry.PromptTokens = t.plan.prompt
	t.entry.Status = http.StatusOK
	t.answer = sha256.New()
	if t.faults.Silent {
		t.hold()
		return
	}
	if t.chat.Stream {
		t.stream(ctx)
	} else {
		t.whole(ctx)
	}
}

// admit answers what is not to run and reports whether the request may.
func (t *turn) admit(body []byte) bool {
	chat, err := parseChat(body)
	switch {
	case t.faults.Drain:
		t.writer.Header().Set("Retry-After", drainRetryAfter)
		t.writer.Header().Set(DrainingHeader, "true")
		t.refuse(http.StatusServiceUnavailable, "draining", "the engine takes no new requests")
	case t.faults.Status > 0:
		t.refuse(t.faults.Status, "ordered", "ordered to fail")
	case len(body) > MaxBodySize:
		t.refuse(http.StatusRequestEntityTooLarge, "too_large", "the body is too large")
	case err != nil:
		t.refuse(http.StatusBadRequest, "invalid_request", err.Error())
	case !slices.Contains(t.engine.cfg.Models, chat.Model):
		t.refuse(http.StatusNotFound, "model_not_found", "no such model: "+chat.Model)
	default:
		t.chat, t.plan = chat, planFor(chat)
		return true
	}
	return false
}

func (t *turn) refuse(status int, code, message string) {
	t.entry.Outcome = kcwrecord.Refused
	t.entry.Status = status
	refuse(t.writer, status, code, message)
}

// hold keeps the connection open without a byte until the caller goes away.
func (t *turn) hold() {
	t.entry.Outcome = kcwrecord.Cancelled
	<-t.request.Context().Done()
}

// next waits for the token of the index and reports whether the caller is
// still there.
func (t *turn) next(ctx context.Context, index int64) bool {
	pause := t.engine.cfg.BetweenTokens
	if index == 0 {
		pause = t.engine.cfg.FirstToken
	}
	if !sleep(ctx, pause) {
		t.entry.Outcome = kcwrecord.Cancelled
		return false
	}
	t.entry.CompletionTokens++
	return true
}

func (t *turn) whole(ctx context.Context) {
	tokens, reason := t.plan.limit(t.chat.most())
	for i := range tokens {
		if !t.next(ctx, i) {
			return
		}
	}
	if !sleep(ctx, kcwfault.Duration(t.faults.Late)) {
		t.entry.Outcome = kcwrecord.Cancelled
		return
	}
	result := completion{
		ID: t.plan.id(), Object: "chat.completion", Created: createdAt, Model: t.chat.Model,
		Choices: []choice{{Message: &delta{Role: "assistant", Content: string(t.plan.text(tokens))}, FinishReason: &reason}},
	}
	if !t.faults.NoUsage {
		result.Usage = usageOf(t.plan.prompt, tokens)
	}
	body := encode(result)
	t.writer.Header().Set("Content-Type", "application/json")
	t.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if t.faults.ShortBody {
		t.write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	t.finish(t.write(body))
}

func (t *turn) stream(ctx context.Context) {
	tokens, reason := t.plan.limit(t.chat.most())
	t.writer.Header().Set("Content-Type", "text/event-stream")
	t.writer.Header().Set("Cache-Control", "no-cache")
	for i := range tokens {
		if !t.next(ctx, i) {
			return
		}
		if i == 0 && !sleep(ctx, kcwfault.Duration(t.faults.Late)) {
			t.entry.Outcome = kcwrecord.Cancelled
			return
		}
		d := &delta{Content: t.plan.token(i)}
		if i == 0 {
			d.Role = "assistant"
		}
		chunk := t.chunk(choice{Delta: d})
		if t.chat.wantsContinuousUsage() && !t.faults.NoUsage {
			chunk.Usage = usageOf(t.plan.prompt, i+1)
		}
		if !t.event(chunk) {
			t.entry.Outcome = kcwrecord.Cancelled
			return
		}
		t.breakAfter(i + 1)
		if ctx.Err() != nil {
			t.entry.Outcome = kcwrecord.Cancelled
			return
		}
	}
	ok := t.event(t.chunk(choice{Delta: &delta{}, FinishReason: &reason}))
	if t.chat.wantsUsage() && !t.faults.NoUsage {
		last := t.chunk()
		last.Usage = usageOf(t.plan.prompt, tokens)
		ok = ok && t.event(last)
	}
	ok = ok && t.write([]byte("data: [DONE]\n\n"))
	t.finish(ok)
}

// breakAfter shows the ordered fault once that many tokens are sent.
func (t *turn) breakAfter(sent int64) {
	switch sent {
	case int64(t.faults.CutAfter):
		panic(http.ErrAbortHandler)
	case int64(t.faults.SilentAfter):
		t.hold()
	}
}

func (t *turn) chunk(choices ...choice) *completion {
	if choices == nil {
		choices = []choice{}
	}
	return &completion{ID: t.plan.id(), Object: "chat.completion.chunk", Created: createdAt, Model: t.chat.Model, Choices: choices}
}

func (t *turn) event(chunk *completion) bool {
	return t.write([]byte("data: " + string(encode(chunk)) + "\n\n"))
}

func (t *turn) write(data []byte) bool {
	t.answer.Write(data)
	if _, err := t.writer.Write(data); err != nil {
		return false
	}
	return http.NewResponseController(t.writer).Flush() == nil
}

func (t *turn) finish(ok bool) {
	t.entry.Outcome = kcwrecord.Cancelled
	if ok {
		t.entry.Outcome = kcwrecord.Finished
	}
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("kcwengine: " + err.Error())
	}
	return data
}

// sleep waits for the duration and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
