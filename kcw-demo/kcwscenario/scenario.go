// Package kcwscenario sends the requests of the demonstration with the client
// libraries that callers use and records the outcome of each.
package kcwscenario

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw-demo/kcwaudit"
	"kingcupwick.example/kcw-standin/kcwrecord"
)

// Config holds the settings of a Scenario.
type Config struct {
	// Routers are the base URLs of the routers, which get the requests in turn.
	Routers []string
	// Key is the caller's API key, Customer the customer that it belongs to.
	Key, Customer string
	// Model is the name of the model, Service the path of the plain service.
	Model, Service string
	// Cost is the contract's price in tokens of a call to the plain service.
	Cost int64
	// Out receives one line for each request.
	Out io.Writer
}

// Kind classifies an Error.
type Kind int

const (
	// Call means that a call to a router failed.
	Call Kind = iota + 1
	// Mismatch means that a retry got a different answer.
	Mismatch
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("kcwscenario: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Scenario is one run of the demonstration.
type Scenario struct {
	cfg   Config
	calls []kcwaudit.Call
}

// New returns a Scenario. It panics if there are fewer than two routers.
func New(cfg Config) *Scenario {
	const minRouters = 2
	if len(cfg.Routers) < minRouters {
		panic("kcwscenario: fewer than two routers")
	}
	return &Scenario{cfg: cfg}
}

// Run sends the requests and returns the outcome of each call. It stops with an
// *Error at the first request of a round that gets no complete answer. After the
// rounds it retries one request of each of three kinds; a failure of one kind
// doesn't stop the others, and their errors are joined.
func (s *Scenario) Run(ctx context.Context) ([]kcwaudit.Call, error) {
	const rounds = 6
	for i := range rounds {
		router := s.cfg.Routers[i%len(s.cfg.Routers)]
		if err := s.runRound(ctx, router, i); err != nil {
			return s.calls, err
		}
	}
	return s.calls, s.retryAll(ctx)
}

// runRound sends one request of each kind.
func (s *Scenario) runRound(ctx context.Context, router string, round int) error {
	prompt := fmt.Sprintf("Draft survey %d of the nave roof.", round)
	if _, err := s.complete(ctx, router, fmt.Sprintf("demo-json-%d", round), prompt); err != nil {
		return err
	}
	if _, err := s.stream(ctx, router, fmt.Sprintf("demo-stream-%d", round), prompt+" tokens=120"); err != nil {
		return err
	}
	booking := fmt.Sprintf(`{"Visit":"vestry","Day":%d}`, round)
	if _, err := s.post(ctx, router, "/bookings", fmt.Sprintf("demo-booking-%d", round), booking); err != nil {
		return err
	}
	_, err := s.post(ctx, router, "/receipts", fmt.Sprintf("demo-receipt-%d", round), booking)
	return err
}

// retryAll sends one request of each of three kinds twice with the same identity,
// first through one router and then through another. Both must give the same
// answer. The second call isn't made if the first one fails.
func (s *Scenario) retryAll(ctx context.Context) error {
	first, second := s.cfg.Routers[0], s.cfg.Routers[1]
	return errors.Join(
		s.sendTwice("json", first, second, func(router string) (string, error) {
			return s.complete(ctx, router, "demo-retry-json", "Say it once. tokens=30")
		}),
		s.sendTwice("stream", first, second, func(router string) (string, error) {
			return s.stream(ctx, router, "demo-retry-stream", "Say it once more. tokens=40")
		}),
		s.sendTwice("receipt", first, second, func(router string) (string, error) {
			return s.post(ctx, router, "/receipts", "demo-retry-receipt", `{"Donor":"K. Tamm"}`)
		}),
	)
}

// sendTwice makes the call through both routers and compares the answers.
func (s *Scenario) sendTwice(op, first, second string, call func(router string) (string, error)) error {
	answer, err := call(first)
	if err != nil {
		return err
	}
	retried, err := call(second)
	if err != nil {
		return err
	}
	if answer != retried {
		return &Error{Op: op, Kind: Mismatch, Err: eris.New("a retry through the second router gave a different answer")}
	}
	return nil
}

func (s *Scenario) client(router string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(router+"/v1/"),
		option.WithAPIKey(s.cfg.Key),
		option.WithMaxRetries(0),
	)
}

func (s *Scenario) params(prompt string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     s.cfg.Model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(200),
	}
}

// complete sends a chat request without streaming and returns the answer's text.
func (s *Scenario) complete(ctx context.Context, router, request, prompt string) (string, error) {
	client := s.client(router)
	answer, err := client.Chat.Completions.New(ctx, s.params(prompt), option.WithHeader("Idempotency-Key", request))
	if err != nil {
		return "", s.recordFailure("json", request, err)
	}
	if len(answer.Choices) != 1 || answer.Choices[0].FinishReason == "" || answer.Usage.TotalTokens == 0 {
		return "", s.recordFailure("json", request, eris.New("the answer has no choice, finish reason or usage"))
	}
	text := answer.Choices[0].Message.Content
	s.recordWhole("json", router, request, kcwaudit.Call{Digest: kcwrecord.Digest([]byte(text))})
	return text, nil
}

// stream sends a streaming chat request and returns the answer's text.
func (s *Scenario) stream(ctx context.Context, router, request, prompt string) (string, error) {
	client := s.client(router)
	stream := client.Chat.Completions.NewStreaming(ctx, s.params(prompt), option.WithHeader("Idempotency-Key", request))
	defer stream.Close()
	text, finishReason := "", ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
			finishReason += choice.FinishReason
		}
	}
	if err := stream.Err(); err != nil {
		return "", s.recordFailure("stream", request, err)
	}
	if finishReason == "" {
		return "", s.recordFailure("stream", request, eris.New("the stream ended without a finish reason"))
	}
	s.recordWhole("stream", router, request, kcwaudit.Call{Digest: kcwrecord.Digest([]byte(text))})
	return text, nil
}

// post sends a call to the plain service and returns the response body.
func (s *Scenario) post(ctx context.Context, router, path, request, body string) (string, error) {
	url := router + s.cfg.Service + path
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return "", s.recordFailure("plain", request, err)
	}
	call.Header.Set("Authorization", "Bearer "+s.cfg.Key)
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("Idempotency-Key", request)
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		return "", s.recordFailure("plain", request, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusCreated {
		err = eris.Errorf("status %s: %s", response.Status, answer)
	}
	if err != nil {
		return "", s.recordFailure("plain", request, err)
	}
	s.recordWhole("plain", router, request, kcwaudit.Call{
		Digest: kcwrecord.Digest(answer), IsPlain: true, IsOnce: path == "/receipts", Cost: s.cfg.Cost,
	})
	return string(answer), nil
}

// recordWhole records a call that got a complete answer.
func (s *Scenario) recordWhole(kind, router, request string, call kcwaudit.Call) {
	call.Customer, call.Request, call.Outcome = s.cfg.Customer, request, kcwaudit.Whole
	s.calls = append(s.calls, call)
	fmt.Fprintf(s.cfg.Out, "  %-8s %-22s whole, through %s\n", kind, request, router)
}

// recordFailure records a call as Broken and returns its error.
func (s *Scenario) recordFailure(op, request string, err error) error {
	s.calls = append(s.calls, kcwaudit.Call{Customer: s.cfg.Customer, Request: request, Outcome: kcwaudit.Broken})
	return &Error{Op: op + " " + request, Kind: Call, Err: err}
}
