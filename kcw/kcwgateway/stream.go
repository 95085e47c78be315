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
	errNoJSON      = eris.New("the answer is not a chat completion")
	errUnfinished  = eris.New("the stream ended without its terminator")
	errErrorEvent  = eris.New("the stream holds an error")
	errBoundPassed = eris.New("the stream passed the bound on tokens")
	errTooMuchHeld = eris.New("too many bytes follow the last token")
)

// terminator is the data of the event that ends a whole stream.
var terminator = []byte("[DONE]")

// usage is an engine's count of tokens.
type usage struct {
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// chunk is the part of a streamed completion that the gateway reads.
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

// bytes bounds the tokens of a delta.
func (d *delta) bytes() int64 {
	return int64(len(d.Content) + len(d.ReasoningContent) + len(d.Refusal) + len(d.ToolCalls) + len(d.FunctionCall))
}

// meter counts the tokens of one stream.
type meter struct {
	terms   *chatTerms
	reserve int64
	// parts is a lower bound of the completion's tokens, bytes an upper one.
	parts, bytes int64
	usage        *usage
	finished     map[int]bool
	done         bool
}

// read takes the data of one event. It returns what the caller gets in its
// place, or nil for the event as it is; drop says that the caller gets none.
func (m *meter) read(data []byte) (replaced []byte, drop bool, err error) {
	if bytes.Equal(data, terminator) {
		m.done = true
		return nil, false, nil
	}
	if len(data) == 0 {
		return nil, false, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, false, eris.Wrap(errNoJSON, "event")
	}
	if len(c.Error) > 0 && !bytes.Equal(c.Error, []byte("null")) {
		return nil, false, errErrorEvent
	}
	m.count(&c)
	if m.passed() {
		return nil, false, errBoundPassed
	}
	if m.terms.wantsUsage || !bytes.Contains(data, []byte(`"usage"`)) {
		return nil, false, nil
	}
	if len(c.Choices) == 0 && c.Usage != nil {
		return nil, true, nil
	}
	return withoutUsage(data), false, nil
}

// count adds what one chunk holds.
func (m *meter) count(c *chunk) {
	if c.Usage != nil {
		m.usage = c.Usage
	}
	for i := range c.Choices {
		choice := &c.Choices[i]
		if n := choice.Delta.bytes(); n > 0 {
			m.parts++
			m.bytes += n
		}
		if len(choice.FinishReason) > 0 && !bytes.Equal(choice.FinishReason, []byte("null")) {
			m.finished[choice.Index] = true
		}
	}
}

// passed says whether the completion is longer than its bound.
func (m *meter) passed() bool {
	bound := m.terms.completion()
	return m.parts > bound || (m.usage != nil && m.usage.CompletionTokens > bound)
}

// ending says whether every choice has finished, so that only the end of the
// stream follows.
func (m *meter) ending() bool {
	return m.done || int64(len(m.finished)) >= m.terms.choices
}

// tokens returns the tokens used, by the engine's count or else by the bound.
func (m *meter) tokens() int64 {
	if m.usage != nil {
		return min(max(m.usage.TotalTokens, 0), m.reserve)
	}
	return min(m.terms.prompt+min(m.bytes, m.terms.completion()), m.reserve)
}

// withoutUsage returns an event whose data has no usage.
func withoutUsage(data []byte) []byte {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(data, &fields) != nil {
		return nil
	}
	delete(fields, "usage")
	encoded, err := encode(fields)
	if err != nil {
		return nil
	}
	return append(append([]byte("data: "), encoded...), '\n')
}

// stream passes events on as they come, and keeps back those that end the
// stream until it is billed.
func (g *Gateway) stream(ctx context.Context, req *request, d *delivery, resp *http.Response) result {
	reader := kcwevent.New(kcwevent.Config{Source: resp.Body, MaxBytes: g.cfg.MaxEventBytes})
	m := &meter{terms: req.chat, reserve: req.reserve, finished: map[int]bool{}}
	var held []byte
	for !m.done {
		raw, data, err := reader.Next()
		if err == io.EOF {
			err = errUnfinished
		}
		if err != nil {
			return g.cut(ctx, req, d, m, err)
		}
		replaced, drop, err := m.read(data)
		if err != nil {
			return g.cut(ctx, req, d, m, err)
		}
		if drop {
			continue
		}
		if replaced != nil {
			raw = replaced
		}
		if !m.ending() {
			pass(d, resp, raw)
			continue
		}
		held = append(held, raw...)
		if len(held) > g.cfg.MaxEventBytes {
			return g.cut(ctx, req, d, m, errTooMuchHeld)
		}
	}
	return result{whole: true, status: resp.StatusCode, header: resp.Header, final: held, tokens: m.tokens(), sent: true, ran: true}
}

// pass gives one event to the caller.
func pass(d *delivery, resp *http.Response, event []byte) {
	if !d.began {
		d.begin(resp.StatusCode, resp.Header, 0)
	}
	d.write(event)
}

// cut returns the result of a stream that did not end as it should.
func (g *Gateway) cut(ctx context.Context, req *request, d *delivery, m *meter, err error) result {
	res := g.broken(ctx, req, err)
	switch {
	case err == errBoundPassed:
		res.code, res.ran, res.again, res.tokens = codeBoundPassed, true, false, req.reserve
	case res.code == codeCallerGone:
		res.tokens = m.tokens()
	case d.began && !req.named:
		// Nobody can ask for this request again: it is billed for what came.
		res.ran, res.tokens = true, m.tokens()
	}
	return res
}

// bufferedTokens returns the tokens of a whole answer, and whether it is one.
// An answer that is an error costs what it says, or nothing.
func bufferedTokens(req *request, status int, body []byte) (int64, bool) {
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
		return min(max(answer.Usage.TotalTokens, 0), req.reserve), true
	case isError:
		return 0, true
	case err != nil:
		return 0, false
	default:
		return min(req.chat.prompt+min(int64(len(body)), req.chat.completion()), req.reserve), true
	}
}
