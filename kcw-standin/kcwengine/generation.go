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

// retryAfterSeconds is the value of the Retry-After header of a draining engine.
const retryAfterSeconds = "1"

// generation is the processing of one chat request.
type generation struct {
	engine  *Engine
	writer  http.ResponseWriter
	request *http.Request
	chat    *chatRequest
	plan    plan
	faults  kcwfault.Config
	// answerHash is the running SHA-256 of the bytes written, nil if the request
	// did not run.
	answerHash hash.Hash
	entry      kcwrecord.Entry
}

// fill copies the result of the generation into its entry of the record.
func (g *generation) fill(entry *kcwrecord.Entry) {
	entry.Outcome = g.entry.Outcome
	entry.Status = g.entry.Status
	entry.PromptTokens = g.entry.PromptTokens
	entry.CompletionTokens = g.entry.CompletionTokens
	if g.answerHash != nil {
		entry.AnswerDigest = hex.EncodeToString(g.answerHash.Sum(nil))
	}
	if g.entry.PromptTokens > 0 {
		entry.TextDigest = kcwrecord.Digest(g.plan.text(g.entry.CompletionTokens))
	}
}

func (g *generation) run(body []byte) {
	g.faults = g.engine.cfg.Faults.Take(g.request.URL.Path)
	if !g.accept(body) {
		return
	}
	ctx := g.request.Context()
	if !sleep(ctx, kcwfault.Duration(g.faults.Delay)) || g.engine.batch.acquire(ctx, g.chat.Priority) != nil {
		g.entry.Outcome = kcwrecord.Cancelled
		return
	}
	defer g.engine.batch.release()
	g.entry.PromptTokens = g.plan.promptTokens
	g.entry.Status = http.StatusOK
	g.answerHash = sha256.New()
	if g.faults.Silent {
		g.awaitDisconnect()
		return
	}
	if g.chat.Stream {
		g.stream(ctx)
	} else {
		g.complete(ctx)
	}
}

// accept parses the request and reports whether it may run. If not, it writes a
// response that states the reason.
func (g *generation) accept(body []byte) bool {
	chat, err := parseChat(body)
	switch {
	case g.faults.Drain:
		g.writer.Header().Set("Retry-After", retryAfterSeconds)
		g.writer.Header().Set(DrainingHeader, "true")
		g.refuse(http.StatusServiceUnavailable, "draining", "the engine takes no new requests")
	case g.faults.Status > 0:
		g.refuse(g.faults.Status, "ordered", "ordered to fail")
	case len(body) > MaxBodySize:
		g.refuse(http.StatusRequestEntityTooLarge, "too_large", "the body is too large")
	case err != nil:
		g.refuse(http.StatusBadRequest, "invalid_request", err.Error())
	case !slices.Contains(g.engine.cfg.Models, chat.Model):
		g.refuse(http.StatusNotFound, "model_not_found", "no such model: "+chat.Model)
	default:
		g.chat, g.plan = chat, planFor(chat)
		return true
	}
	return false
}

func (g *generation) refuse(status int, code, message string) {
	g.entry.Outcome = kcwrecord.Refused
	g.entry.Status = status
	refuse(g.writer, status, code, message)
}

// awaitDisconnect keeps the connection open without writing to it until the caller
// disconnects.
func (g *generation) awaitDisconnect() {
	g.entry.Outcome = kcwrecord.Cancelled
	<-g.request.Context().Done()
}

// awaitToken waits for the delay of the token at index. It reports false if the
// caller disconnected first.
func (g *generation) awaitToken(ctx context.Context, index int64) bool {
	pause := g.engine.cfg.BetweenTokens
	if index == 0 {
		pause = g.engine.cfg.FirstToken
	}
	if !sleep(ctx, pause) {
		g.entry.Outcome = kcwrecord.Cancelled
		return false
	}
	g.entry.CompletionTokens++
	return true
}

// complete writes the answer as a single JSON object.
func (g *generation) complete(ctx context.Context) {
	tokens, reason := g.plan.truncate(g.chat.completionLimit())
	for i := range tokens {
		if !g.awaitToken(ctx, i) {
			return
		}
	}
	if !sleep(ctx, kcwfault.Duration(g.faults.Late)) {
		g.entry.Outcome = kcwrecord.Cancelled
		return
	}
	response := completion{
		ID: g.plan.id(), Object: "chat.completion", Created: createdAt, Model: g.chat.Model,
		Choices: []choice{{Message: &delta{Role: "assistant", Content: string(g.plan.text(tokens))}, FinishReason: &reason}},
	}
	if !g.faults.NoUsage {
		response.Usage = usageOf(g.plan.promptTokens, tokens)
	}
	body := encode(response)
	g.writer.Header().Set("Content-Type", "application/json")
	g.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if g.faults.ShortBody {
		g.write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	before, after := g.faults.SplitAtPause(body)
	written := (len(before) == 0 || g.write(before)) && g.pause(ctx)
	g.setOutcome(written && g.write(after))
}

// pause stops the answer for the time of the fault. It reports false if the caller
// disconnected first.
func (g *generation) pause(ctx context.Context) bool {
	return sleep(ctx, kcwfault.Duration(g.faults.Pause))
}

// stream writes the answer as server-sent events, one for each token.
func (g *generation) stream(ctx context.Context) {
	tokens, reason := g.plan.truncate(g.chat.completionLimit())
	g.writer.Header().Set("Content-Type", "text/event-stream")
	g.writer.Header().Set("Cache-Control", "no-cache")
	for i := range tokens {
		if !g.awaitToken(ctx, i) {
			return
		}
		if i == int64(g.faults.PauseAfter) && !g.pause(ctx) {
			g.entry.Outcome = kcwrecord.Cancelled
			return
		}
		if i == 0 && !sleep(ctx, kcwfault.Duration(g.faults.Late)) {
			g.entry.Outcome = kcwrecord.Cancelled
			return
		}
		d := &delta{Content: g.plan.token(i)}
		if i == 0 {
			d.Role = "assistant"
		}
		chunk := g.chunk(choice{Delta: d})
		if g.chat.continuousUsage() && !g.faults.NoUsage {
			chunk.Usage = usageOf(g.plan.promptTokens, i+1)
		}
		if !g.writeEvent(chunk) {
			g.entry.Outcome = kcwrecord.Cancelled
			return
		}
		g.injectStreamFault(i + 1)
		if ctx.Err() != nil {
			g.entry.Outcome = kcwrecord.Cancelled
			return
		}
	}
	written := g.writeEvent(g.chunk(choice{Delta: &delta{}, FinishReason: &reason}))
	if g.chat.includeUsage() && !g.faults.NoUsage {
		last := g.chunk()
		last.Usage = usageOf(g.plan.promptTokens, tokens)
		written = written && g.writeEvent(last)
	}
	written = written && g.write([]byte("data: [DONE]\n\n"))
	g.setOutcome(written)
}

// injectStreamFault aborts or stalls the stream if a fault is configured for the
// given number of sent tokens.
func (g *generation) injectStreamFault(sent int64) {
	switch sent {
	case int64(g.faults.CutAfter):
		panic(http.ErrAbortHandler)
	case int64(g.faults.SilentAfter):
		g.awaitDisconnect()
	}
}

func (g *generation) chunk(choices ...choice) *completion {
	if choices == nil {
		choices = []choice{}
	}
	return &completion{ID: g.plan.id(), Object: "chat.completion.chunk", Created: createdAt, Model: g.chat.Model, Choices: choices}
}

func (g *generation) writeEvent(chunk *completion) bool {
	return g.write([]byte("data: " + string(encode(chunk)) + "\n\n"))
}

func (g *generation) write(data []byte) bool {
	g.answerHash.Write(data)
	if _, err := g.writer.Write(data); err != nil {
		return false
	}
	return http.NewResponseController(g.writer).Flush() == nil
}

func (g *generation) setOutcome(written bool) {
	g.entry.Outcome = kcwrecord.Cancelled
	if written {
		g.entry.Outcome = kcwrecord.Finished
	}
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("kcwengine: " + err.Error())
	}
	return data
}

// sleep waits for d. It reports false if ctx ended first.
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
