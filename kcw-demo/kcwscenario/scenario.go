// Package kcwscenario sends the requests of the demonstration with the client
// libraries that callers use, and notes what each came to.
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
	// Routers are base URLs; the requests go to them in turn.
	Routers []string
	// Key and Customer are the caller's.
	Key, Customer string
	// Model is the model asked, Service the path of the plain service.
	Model, Service string
	// Cost is what the contract takes for a call to the plain service.
	Cost int64
	// Out receives one line for each request.
	Out io.Writer
}

// Kind classifies an Error.
type Kind int

const (
	// Call means that a call to a router failed.
	Call Kind = iota + 1
	// Mismatch means that an answer was not what it had to be.
	Mismatch
)

// Error is returned by this package.
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
	const least = 2
	if len(cfg.Routers) < least {
		panic("kcwscenario: fewer than two routers")
	}
	return &Scenario{cfg: cfg}
}

// Run sends the requests and returns what each came to. The error is an *Error
// of the first one that was not answered whole.
func (s *Scenario) Run(ctx context.Context) ([]kcwaudit.Call, error) {
	const rounds = 6
	for i := range rounds {
		router := s.cfg.Routers[i%len(s.cfg.Routers)]
		if err := s.round(ctx, router, i); err != nil {
			return s.calls, err
		}
	}
	return s.calls, s.retries(ctx)
}

// round sends one request of each sort.
func (s *Scenario) round(ctx context.Context, router string, round int) error {
	prompt := fmt.Sprintf("Draft survey %d of the nave roof.", round)
	if _, err := s.ask(ctx, router, fmt.Sprintf("demo-json-%d", round), prompt); err != nil {
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

// retries sends requests again under their identities through the other
// router; the answers must be the first ones.
func (s *Scenario) retries(ctx context.Context) error {
	first, other := s.cfg.Routers[0], s.cfg.Routers[1]
	return errors.Join(
		s.twice("json", first, other, func(router string) (string, error) {
			return s.ask(ctx, router, "demo-retry-json", "Say it once. tokens=30")
		}),
		s.twice("stream", first, other, func(router string) (string, error) {
			return s.stream(ctx, router, "demo-retry-stream", "Say it once more. tokens=40")
		}),
		s.twice("receipt", first, other, func(router string) (string, error) {
			return s.post(ctx, router, "/receipts", "demo-retry-receipt", `{"Donor":"K. Tamm"}`)
		}),
	)
}

func (s *Scenario) twice(op, first, other string, call func(router string) (string, error)) error {
	answer, err := call(first)
	if err != nil {
		return err
	}
	again, err := call(other)
	if err != nil {
		return err
	}
	if answer != again {
		return &Error{Op: op, Kind: Mismatch, Err: eris.New("a retry through the other router gave another answer")}
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

// ask sends a request for an answer in one piece and returns its text.
func (s *Scenario) ask(ctx context.Context, router, request, prompt string) (string, error) {
	client := s.client(router)
	answer, err := client.Chat.Completions.New(ctx, s.params(prompt), option.WithHeader("Idempotency-Key", request))
	if err != nil {
		return "", s.failed("json", request, err)
	}
	if len(answer.Choices) != 1 || answer.Choices[0].FinishReason == "" || answer.Usage.TotalTokens == 0 {
		return "", s.failed("json", request, eris.New("the answer has no choice, end or usage"))
	}
	text := answer.Choices[0].Message.Content
	s.note("json", router, request, kcwaudit.Call{Digest: kcwrecord.Digest([]byte(text))})
	return text, nil
}

// stream sends a request for a stream of events and returns its text.
func (s *Scenario) stream(ctx context.Context, router, request, prompt string) (string, error) {
	client := s.client(router)
	stream := client.Chat.Completions.NewStreaming(ctx, s.params(prompt), option.WithHeader("Idempotency-Key", request))
	defer stream.Close()
	text, finish := "", ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
			finish += choice.FinishReason
		}
	}
	if err := stream.Err(); err != nil {
		return "", s.failed("stream", request, err)
	}
	if finish == "" {
		return "", s.failed("stream", request, eris.New("the stream ended without its finish"))
	}
	s.note("stream", router, request, kcwaudit.Call{Digest: kcwrecord.Digest([]byte(text))})
	return text, nil
}

// post sends a call to the plain service and returns the answer's body.
func (s *Scenario) post(ctx context.Context, router, path, request, body string) (string, error) {
	url := router + s.cfg.Service + path
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return "", s.failed("plain", request, err)
	}
	call.Header.Set("Authorization", "Bearer "+s.cfg.Key)
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("Idempotency-Key", request)
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		return "", s.failed("plain", request, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusCreated {
		err = eris.Errorf("status %s: %s", response.Status, answer)
	}
	if err != nil {
		return "", s.failed("plain", request, err)
	}
	s.note("plain", router, request, kcwaudit.Call{
		Digest: kcwrecord.Digest(answer), IsPlain: true, IsOnce: path == "/receipts", Cost: s.cfg.Cost,
	})
	return string(answer), nil
}

func (s *Scenario) note(sort, router, request string, call kcwaudit.Call) {
	call.Customer, call.Request, call.Outcome = s.cfg.Customer, request, kcwaudit.Whole
	s.calls = append(s.calls, call)
	fmt.Fprintf(s.cfg.Out, "  %-8s %-22s whole, through %s\n", sort, request, router)
}

func (s *Scenario) failed(op, request string, err error) error {
	s.calls = append(s.calls, kcwaudit.Call{Customer: s.cfg.Customer, Request: request, Outcome: kcwaudit.Broken})
	return &Error{Op: op + " " + request, Kind: Call, Err: err}
}
