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
	// prefixMessages and prefixBytes are how much of the messages stands for their
	// prefix, by which all routers find the same engine.
	prefixMessages = 1
	prefixBytes    = 1024
)

var prefixes = kcwprefix.New(kcwprefix.Config{Messages: prefixMessages, Bytes: prefixBytes})

// admitChat checks a chat completion and fills in its part of req.
func (g *Gateway) admitChat(req *request, body []byte, now time.Time) *refusal {
	fields, bad := chatFields(body, now)
	if bad != nil {
		return bad
	}
	var name string
	if err := json.Unmarshal(fields["model"], &name); err != nil || name == "" {
		return refuse(codeMalformedBody, now, "The model is missing.")
	}
	model, ok := req.contract.Model(name)
	if !ok {
		return refuse(codeUnknownModel, now, "")
	}
	terms, bad := g.chatTerms(fields, req.contract, now)
	if bad != nil {
		return bad
	}
	rewriteChat(fields, terms, g.cfg.ContinuousUsage)
	if g.cfg.EnginePriority {
		fields["priority"] = json.RawMessage(strconv.FormatInt(priorities-1-req.priority(), 10))
	}
	rewritten, err := encode(fields)
	if err != nil {
		return refuse(codeMalformedBody, now, "")
	}
	req.service = model.Upstream
	req.chat = terms
	req.body = rewritten
	req.method = http.MethodPost
	req.uri = chatPath
	req.reserve = terms.prompt + terms.completion()
	return nil
}

// encode returns fields as JSON, with their text as it came.
func encode(fields map[string]json.RawMessage) ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(fields)
	return out.Bytes(), err
}

// chatFields returns the members of the body, each once.
func chatFields(body []byte, now time.Time) (map[string]json.RawMessage, *refusal) {
	if !utf8.Valid(body) {
		return nil, refuse(codeMalformedBody, now, "The body is not UTF-8.")
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, refuse(codeMalformedBody, now, "The body is not a JSON object.")
	}
	return fields, nil
}

// chatTerms bounds the request in fields under the contract's limits.
func (g *Gateway) chatTerms(fields map[string]json.RawMessage, c *kcwcontract.Contract, now time.Time) (*chatTerms, *refusal) {
	prompt, err := g.estimator.Prompt(fields)
	if err != nil {
		return nil, tokenRefusal(err, now)
	}
	if c.Limits.MaxPromptTokens > 0 && prompt > c.Limits.MaxPromptTokens {
		return nil, refuse(codeTooManyTokens, now, "The prompt is too long.")
	}
	each, choices, err := g.estimator.Completion(fields, c.Limits.DefaultCompletionTokens, c.Limits.MaxCompletionTokens)
	if err != nil {
		return nil, tokenRefusal(err, now)
	}
	terms := &chatTerms{prompt: prompt, each: each, choices: choices}
	if !isBool(fields["stream"], &terms.stream) {
		return nil, refuse(codeMalformedBody, now, "stream must be true or false.")
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if raw := fields["stream_options"]; raw != nil && json.Unmarshal(raw, &options) != nil {
		return nil, refuse(codeMalformedBody, now, "stream_options is malformed.")
	}
	terms.wantsUsage = options.IncludeUsage
	terms.prefix = prefixes.Sum(string(fields["model"]), fields["messages"])
	return terms, nil
}

// isBool stores a member that is true, false or absent.
func isBool(raw json.RawMessage, into *bool) bool {
	return raw == nil || bytes.Equal(raw, []byte("null")) || json.Unmarshal(raw, into) == nil
}

// tokenRefusal returns the refusal for an error of the estimator.
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

// rewriteChat puts the bounds and the wish for the usage into the request that
// goes upstream.
func rewriteChat(fields map[string]json.RawMessage, terms *chatTerms, continuous bool) {
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = json.RawMessage(strconv.FormatInt(terms.each, 10))
	if terms.choices == 1 {
		delete(fields, "n")
	}
	delete(fields, "stream_options")
	if !terms.stream {
		return
	}
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if continuous {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true,"continuous_usage_stats":true}`)
	}
}

// modelList is the answer at modelsPath.
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

// serveModels lists the models of the contract.
func serveModels(w http.ResponseWriter, c *kcwcontract.Contract) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range c.Models {
		list.Data = append(list.Data, modelItem{ID: model.Name, Object: "model", OwnedBy: "kingcupwick"})
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller is gone.
	_ = json.NewEncoder(w).Encode(list)
}
