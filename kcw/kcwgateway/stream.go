package kcwgateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwevent"
)

var (
	errNotCompletion   = eris.New("the answer is not a chat completion")
	errUnfinished      = eris.New("the stream ended without its terminator")
	errErrorEvent      = eris.New("the stream contains an error event")
	errBoundPassed     = eris.New("the stream exceeded its token bound")
	errTooMuchWithheld = eris.New("the events after the last token are too large")
)

// terminator is the data of the event that ends a complete stream.
var terminator = []byte("[DONE]")

// usage is the token count that an engine reports.
type usage struct {
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// chunk is the part of a streamed completion that the gateway decodes.
type chunk struct {
	Choices []struct {
		Index        int             `json:"index"`
		Delta        delta           `json:"delta"`
		FinishReason json.RawMessage `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

type delta struct {
	Content          string          `json:"content"`
	ReasoningContent string          `json:"reasoning_content"`
	Refusal          string          `json:"refusal"`
	ToolCalls        json.RawMessage `json:"tool_calls"`
	FunctionCall     json.RawMessage `json:"function_call"`
}

// size returns the length of the delta's text in bytes, which bounds its tokens.
func (d *delta) size() int64 {
	return int64(len(d.Content) + len(d.ReasoningContent) + len(d.Refusal) + len(d.ToolCalls) + len(d.FunctionCall))
}

// meter counts the tokens of one stream.
type meter struct {
	params      *chatParams
	reservation int64
	// deltas, the number of deltas with text, is a lower bound on the tokens of the
	// completion; bytes, the length of their text, is an upper bound.
	deltas, bytes int64
	usage         *usage
	finished      map[int]bool
	done          bool
}

// read processes the data of one event. It returns the event that replaces it, or nil
// if it is forwarded unchanged. If drop is true, the event is not forwarded.
func (m *meter) read(data []byte) (replacement []byte, drop bool, err error) {
	if bytes.Equal(data, terminator) {
		m.done = true
		return nil, false, nil
	}
	if len(data) == 0 {
		return nil, false, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, false, eris.Wrap(errNotCompletion, "event")
	}
	if len(c.Error) > 0 && !bytes.Equal(c.Error, []byte("null")) {
		return nil, false, errErrorEvent
	}
	m.count(&c)
	if m.exceedsBound() {
		return nil, false, errBoundPassed
	}
	if m.params.wantsUsage || !bytes.Contains(data, []byte(`"usage"`)) {
		return nil, false, nil
	}
	if len(c.Choices) == 0 && c.Usage != nil {
		return nil, true, nil
	}
	return withoutUsage(data), false, nil
}

// count adds one chunk to the counts.
func (m *meter) count(c *chunk) {
	if c.Usage != nil {
		m.usage = c.Usage
	}
	for i := range c.Choices {
		choice := &c.Choices[i]
		if n := choice.Delta.size(); n > 0 {
			m.deltas++
			m.bytes += n
		}
		if len(choice.FinishReason) > 0 && !bytes.Equal(choice.FinishReason, []byte("null")) {
			m.finished[choice.Index] = true
		}
	}
}

// exceedsBound reports whether the completion has exceeded its token bound.
func (m *meter) exceedsBound() bool {
	bound := m.params.completionBound()
	return m.deltas > bound || (m.usage != nil && m.usage.CompletionTokens > bound)
}

// allFinished reports whether every choice has finished, so that only the end of the
// stream follows.
func (m *meter) allFinished() bool {
	return m.done || int64(len(m.finished)) >= m.params.choices
}

// tokens returns the number of tokens used as the engine reports it, or else an upper
// bound.
func (m *meter) tokens() int64 {
	if m.usage != nil {
		return min(max(m.usage.TotalTokens, 0), m.reservation)
	}
	return min(m.params.prompt+min(m.bytes, m.params.completionBound()), m.reservation)
}

// withoutUsage returns the event for data without its usage member, or nil if data
// is not a JSON object.
func withoutUsage(data []byte) []byte {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(data, &fields) != nil {
		return nil
	}
	delete(fields, "usage")
	encoded, err := encodeFields(fields)
	if err != nil {
		return nil
	}
	return append(append([]byte("data: "), encoded...), '\n')
}

// forwardStream forwards events as they arrive. It withholds the events that end the
// stream; they are sent once the stream is billed.
func (g *Gateway) forwardStream(ctx context.Context, req *request, d *delivery, resp *http.Response) attemptResult {
	reader := kcwevent.New(kcwevent.Config{Source: resp.Body, MaxBytes: g.cfg.MaxEventBytes})
	m := &meter{params: req.chat, reservation: req.reservation, finished: map[int]bool{}}
	var withheld []byte
	for !m.done {
		raw, data, err := reader.Next()
		if err == io.EOF {
			err = errUnfinished
		}
		if err != nil {
			return g.brokenStream(ctx, req, d, m, err)
		}
		replacement, drop, err := m.read(data)
		if err != nil {
			return g.brokenStream(ctx, req, d, m, err)
		}
		if drop {
			continue
		}
		if replacement != nil {
			raw = replacement
		}
		if !m.allFinished() {
			forwardEvent(d, resp, raw)
			continue
		}
		withheld = append(withheld, raw...)
		if len(withheld) > g.cfg.MaxEventBytes {
			return g.brokenStream(ctx, req, d, m, errTooMuchWithheld)
		}
	}
	return attemptResult{complete: true, status: resp.StatusCode, header: resp.Header, withheld: withheld, tokens: m.tokens(), sent: true, ran: true}
}

// forwardEvent writes one event to the caller.
func forwardEvent(d *delivery, resp *http.Response, event []byte) {
	if !d.started {
		d.writeHeader(resp.StatusCode, resp.Header, 0)
	}
	d.write(event)
}

// brokenStream returns the result of a stream that ended with err.
func (g *Gateway) brokenStream(ctx context.Context, req *request, d *delivery, m *meter, err error) attemptResult {
	res := g.brokenAnswer(ctx, req, err)
	switch {
	case err == errBoundPassed:
		res.code, res.ran, res.retryable, res.tokens = codeBoundPassed, true, false, req.reservation
	case res.code == codeCallerGone:
		res.tokens = m.tokens()
	case d.started && !req.identityGiven:
		// The caller gave no identity and so can't retry the request, which is therefore
		// billed for the part that arrived.
		res.ran, res.tokens = true, m.tokens()
	}
	return res
}

// answerTokens returns the tokens of an answer that came in one piece, and whether
// the answer is valid. An error response costs the usage that it states, or nothing.
func answerTokens(req *request, status int, body []byte) (int64, bool) {
	isError := status >= http.StatusBadRequest
	if req.chat == nil {
		if isError {
			return 0, true
		}
		return req.cost, true
	}
	var answer struct {
		Usage *usage `json:"usage"`
	}
	err := json.Unmarshal(body, &answer)
	switch {
	case err == nil && answer.Usage != nil:
		return min(max(answer.Usage.TotalTokens, 0), req.reservation), true
	case isError:
		return 0, true
	case err != nil:
		return 0, false
	default:
		return min(req.chat.prompt+min(int64(len(body)), req.chat.completionBound()), req.reservation), true
	}
}
