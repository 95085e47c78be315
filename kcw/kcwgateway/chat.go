package kcwgateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"kingcupwick.example/kcw/kcwcontract"
	"kingcupwick.example/kcw/kcwprefix"
	"kingcupwick.example/kcw/kcwtoken"
)

const (
	chatPath   = "/v1/chat/completions"
	modelsPath = "/v1/models"
	// prefixMessages and prefixBytes bound the part of the messages that is hashed as
	// their prefix. All routers prefer the same two engines for the same prefix.
	prefixMessages = 1
	prefixBytes    = 1024
)

var prefixHasher = kcwprefix.New(kcwprefix.Config{Messages: prefixMessages, Bytes: prefixBytes})

// admitChat checks a chat completion and fills in the fields of req that depend on
// the body.
func (g *Gateway) admitChat(req *request, body []byte, now time.Time) *refusal {
	fields, refused := decodeFields(body, now)
	if refused != nil {
		return refused
	}
	var name string
	if err := json.Unmarshal(fields["model"], &name); err != nil || name == "" {
		return refuse(codeMalformedBody, now, "The model is missing.")
	}
	model, ok := req.contract.Model(name)
	if !ok {
		return refuse(codeUnknownModel, now, "")
	}
	params, refused := g.chatParams(fields, req.contract, now)
	if refused != nil {
		return refused
	}
	rewriteChat(fields, params, g.cfg.ContinuousUsage)
	if g.cfg.EnginePriority {
		fields["priority"] = json.RawMessage(strconv.FormatInt(priorities-1-req.priority(), 10))
	}
	rewritten, err := encodeFields(fields)
	if err != nil {
		return refuse(codeMalformedBody, now, "")
	}
	req.service = model.Upstream
	req.chat = params
	req.body = rewritten
	req.method = http.MethodPost
	req.uri = chatPath
	req.reservation = params.prompt + params.completionBound()
	return nil
}

// encodeFields returns fields as JSON, without escaping HTML characters.
func encodeFields(fields map[string]json.RawMessage) ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(fields)
	return out.Bytes(), err
}

// decodeFields returns the members of the body. Of a member that is repeated it
// returns the last. A body with a parameter that is not supported is refused.
func decodeFields(body []byte, now time.Time) (map[string]json.RawMessage, *refusal) {
	if !utf8.Valid(body) {
		return nil, refuse(codeMalformedBody, now, "The body is not UTF-8.")
	}
	fields, err := kcwtoken.Fields(body)
	var failure *kcwtoken.Error
	if errors.As(err, &failure) && failure.Kind == kcwtoken.KindMalformed {
		return nil, refuse(codeMalformedBody, now, "The body is not a JSON object.")
	}
	if err != nil {
		return nil, tokenRefusal(err, now)
	}
	return fields, nil
}

// chatParams returns the token bounds and options of the request in fields, under
// the limits of the contract.
func (g *Gateway) chatParams(fields map[string]json.RawMessage, c *kcwcontract.Contract, now time.Time) (*chatParams, *refusal) {
	prompt, err := g.estimator.Prompt(fields)
	if err != nil {
		return nil, tokenRefusal(err, now)
	}
	if c.Limits.MaxPromptTokens > 0 && prompt > c.Limits.MaxPromptTokens {
		return nil, refuse(codeTooManyTokens, now, "The prompt is too long.")
	}
	perChoice, choices, err := g.estimator.Completion(fields, c.Limits.DefaultCompletionTokens, c.Limits.MaxCompletionTokens)
	if err != nil {
		return nil, tokenRefusal(err, now)
	}
	params := &chatParams{prompt: prompt, perChoice: perChoice, choices: choices}
	if !decodeBool(fields["stream"], &params.stream) {
		return nil, refuse(codeMalformedBody, now, "stream must be true or false.")
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if raw := fields["stream_options"]; raw != nil && json.Unmarshal(raw, &options) != nil {
		return nil, refuse(codeMalformedBody, now, "stream_options is malformed.")
	}
	params.wantsUsage = options.IncludeUsage
	params.prefix = prefixHasher.Sum(string(fields["model"]), fields["messages"])
	return params, nil
}

// decodeBool stores the value of a member that is true or false, and leaves into
// unchanged if the member is null or absent. It returns false for any other value.
func decodeBool(raw json.RawMessage, into *bool) bool {
	return raw == nil || bytes.Equal(raw, []byte("null")) || json.Unmarshal(raw, into) == nil
}

// tokenRefusal returns the refusal for an error of the token estimator.
func tokenRefusal(err error, now time.Time) *refusal {
	var failure *kcwtoken.Error
	if !errors.As(err, &failure) {
		return refuse(codeMalformedBody, now, "")
	}
	detail := "At fault: " + failure.Param + "."
	switch failure.Kind {
	case kcwtoken.KindUnsupported:
		return refuse(codeUnsupported, now, detail)
	case kcwtoken.KindTooLong:
		return refuse(codeTooManyTokens, now, detail)
	default:
		return refuse(codeMalformedBody, now, detail)
	}
}

// rewriteChat puts the token limit and the request for the token usage into the
// fields that are sent upstream.
func rewriteChat(fields map[string]json.RawMessage, params *chatParams, continuous bool) {
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = json.RawMessage(strconv.FormatInt(params.perChoice, 10))
	if params.choices == 1 {
		delete(fields, "n")
	}
	delete(fields, "stream_options")
	if !params.stream {
		return
	}
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if continuous {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true,"continuous_usage_stats":true}`)
	}
}

// modelList is the response body at modelsPath.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels answers with the models of the contract.
func serveModels(w http.ResponseWriter, c *kcwcontract.Contract) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range c.Models {
		list.Data = append(list.Data, modelItem{ID: model.Name, Object: "model", OwnedBy: "kingcupwick"})
	}
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(list)
}
