package kcwengine

import (
	"encoding/json"
	"errors"
)

// createdAt is the creation time in every answer, in seconds since the Unix
// epoch. It is constant so that equal requests get byte-identical answers.
const createdAt = 1_700_000_000

// chatRequest holds the fields of a chat-completions request that the engine
// evaluates.
type chatRequest struct {
	Model               string         `json:"model"`
	Messages            []chatMessage  `json:"messages"`
	MaxTokens           int64          `json:"max_tokens"`
	MaxCompletionTokens int64          `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	N                   int            `json:"n"`
	// Priority orders the queue, lower values first.
	Priority int `json:"priority"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
	// ContinuousUsage requests the usage so far in every event.
	ContinuousUsage bool `json:"continuous_usage_stats"`
}

type chatMessage struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is a message's text. On the wire it is a string or a list of parts.
type content string

// UnmarshalJSON decodes a string, a list of text parts, or null.
func (c *content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = content(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	for _, part := range parts {
		*c += content(part.Text)
	}
	return nil
}

func parseChat(body []byte) (*chatRequest, error) {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, err
	}
	switch {
	case len(chat.Messages) == 0:
		return nil, errors.New("messages are missing")
	case chat.N > 1:
		return nil, errors.New("n must be 1")
	case chat.MaxTokens < 0 || chat.MaxCompletionTokens < 0:
		return nil, errors.New("the token limit is negative")
	}
	return &chat, nil
}

// completionLimit returns the maximum number of completion tokens that the
// request sets, zero for none.
func (c *chatRequest) completionLimit() int64 {
	switch {
	case c.MaxTokens == 0:
		return c.MaxCompletionTokens
	case c.MaxCompletionTokens == 0:
		return c.MaxTokens
	}
	return min(c.MaxTokens, c.MaxCompletionTokens)
}

func (c *chatRequest) continuousUsage() bool {
	return c.StreamOptions != nil && c.StreamOptions.ContinuousUsage
}

func (c *chatRequest) includeUsage() bool {
	return c.StreamOptions != nil && c.StreamOptions.IncludeUsage
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

func usageOf(prompt, completion int64) *usage {
	return &usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      *delta  `json:"message,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type failure struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}
