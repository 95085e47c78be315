// Package kcwtoken computes an upper bound on the tokens of a chat request before an
// engine receives it.
//
// In a byte-level byte-pair encoding (Sennrich, Haddow and Birch, "Neural Machine
// Translation of Rare Words with Subword Units", 2016) each token stands for at
// least one byte of text. The number of tokens of a prompt is therefore at most its
// number of bytes, including the text that a chat template adds. Content without such
// a bound, such as an image or a template of the caller, is refused.
package kcwtoken

import (
	"bytes"
	"encoding/json"
	"math"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

const (
	// defaultRequestTokens and defaultItemTokens are the defaults of
	// Config.RequestTokens and Config.ItemTokens.
	defaultRequestTokens = 256
	defaultItemTokens    = 32
	// defaultMaxChoices is the default of Config.MaxChoices.
	defaultMaxChoices = 8
	// maxBound is the largest bound, in tokens, of the prompt and of each completion.
	maxBound = math.MaxInt32
	// escapeBytes is the length of a JSON escape such as \u00e9.
	escapeBytes = 6
	// indent is the widest indentation with which templates print tools.
	indent = "    "
)

// Config configures an Estimator.
type Config struct {
	// RequestTokens is the number of tokens that a chat template adds to a request;
	// 256 if zero.
	RequestTokens int64
	// ItemTokens is the number of tokens that a chat template adds to each message and
	// tool; 32 if zero.
	ItemTokens int64
	// MaxChoices is the largest number of choices (n) of a request; 8 if zero.
	MaxChoices int64
}

// Estimator bounds and normalizes chat requests. It is immutable and safe for
// concurrent use.
type Estimator struct {
	cfg Config
}

// New returns an Estimator for cfg.
func New(cfg Config) *Estimator {
	if cfg.RequestTokens <= 0 {
		cfg.RequestTokens = defaultRequestTokens
	}
	if cfg.ItemTokens <= 0 {
		cfg.ItemTokens = defaultItemTokens
	}
	if cfg.MaxChoices <= 0 {
		cfg.MaxChoices = defaultMaxChoices
	}
	return &Estimator{cfg: cfg}
}

// Prompt returns an upper bound on the tokens of the prompt in fields, the members of
// a chat request. It rewrites the messages so that no member occurs twice in a
// message. It returns an *Error of KindUnsupported for content without a bound, of
// KindMalformed for messages or tools that can't be decoded, and of KindTooLong if the
// bound is too large.
func (e *Estimator) Prompt(fields map[string]json.RawMessage) (int64, error) {
	total := e.cfg.RequestTokens
	for name, value := range fields {
		if !admittedParameters[name] {
			return 0, &Error{Op: "prompt", Kind: KindUnsupported, Param: name, Err: eris.New("parameter is not supported")}
		}
		total += int64(len(name) + len(value))
	}
	added, err := e.messages(fields)
	if err != nil {
		return 0, err
	}
	total += added
	for _, name := range []string{"tools", "functions"} {
		added, err := e.tools(name, fields[name])
		if err != nil {
			return 0, err
		}
		total += added
	}
	if total > maxBound {
		return 0, &Error{Op: "prompt", Kind: KindTooLong, Param: "messages", Err: eris.New("prompt has too many tokens")}
	}
	return total, nil
}

// Completion returns the largest number of tokens of each choice of the request in
// fields, and the number of choices. If the request sets no limit on the tokens,
// defaultLimit applies, and without a defaultLimit maxLimit. A limit above maxLimit is
// lowered to maxLimit. Zero stands for no defaultLimit or no maxLimit. Completion returns
// an *Error of KindMalformed for a limit or number of choices that is not a positive
// integer, and of KindTooLong if no limit applies or a bound is exceeded.
func (e *Estimator) Completion(fields map[string]json.RawMessage, defaultLimit, maxLimit int64) (perChoice, choices int64, err error) {
	perChoice, err = number(fields, "max_completion_tokens", 0)
	if err != nil {
		return 0, 0, err
	}
	if perChoice == 0 {
		perChoice, err = number(fields, "max_tokens", 0)
	}
	if err != nil {
		return 0, 0, err
	}
	if perChoice == 0 {
		perChoice = defaultLimit
	}
	if perChoice == 0 || (maxLimit > 0 && perChoice > maxLimit) {
		perChoice = maxLimit
	}
	if perChoice <= 0 || perChoice > maxBound {
		return 0, 0, &Error{Op: "completion", Kind: KindTooLong, Param: "max_tokens", Err: eris.New("neither request nor contract limits the completion")}
	}
	choices, err = number(fields, "n", 1)
	if err != nil {
		return 0, 0, err
	}
	if choices > e.cfg.MaxChoices {
		return 0, 0, &Error{Op: "completion", Kind: KindTooLong, Param: "n", Err: eris.Errorf("more than %d choices", e.cfg.MaxChoices)}
	}
	return perChoice, choices, nil
}

// number returns the positive integer in the member name, or defaultValue if the
// member is missing or null. It returns an *Error of KindMalformed for any other value.
func number(fields map[string]json.RawMessage, name string, defaultValue int64) (int64, error) {
	raw, ok := fields[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		return defaultValue, nil
	}
	var n int64
	if err := json.Unmarshal(raw, &n); err != nil || n < 1 {
		return 0, &Error{Op: "number", Kind: KindMalformed, Param: name, Err: eris.New("must be a positive whole number")}
	}
	return n, nil
}

// messages returns an upper bound on the tokens that a template adds to the messages
// beyond their bytes, and rewrites the messages as Prompt describes.
func (e *Estimator) messages(fields map[string]json.RawMessage) (int64, error) {
	var list []map[string]json.RawMessage
	if err := json.Unmarshal(fields["messages"], &list); err != nil || len(list) == 0 {
		return 0, &Error{Op: "prompt", Kind: KindMalformed, Param: "messages", Err: eris.New("must be a list of at least one message")}
	}
	var total int64
	for _, message := range list {
		if err := checkContent(message); err != nil {
			return 0, err
		}
		total += e.cfg.ItemTokens + printedBytes(message["tool_calls"]) + printedBytes(message["function_call"])
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(list); err != nil {
		return 0, &Error{Op: "prompt", Kind: KindMalformed, Param: "messages", Err: eris.Wrap(err, "encode")}
	}
	fields["messages"] = bytes.TrimSpace(out.Bytes())
	return total, nil
}

// tools returns an upper bound on the tokens that a template prints for the tools in
// raw.
func (e *Estimator) tools(name string, raw json.RawMessage) (int64, error) {
	if raw == nil || bytes.Equal(raw, []byte("null")) {
		return 0, nil
	}
	var list []json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil {
		return 0, &Error{Op: "prompt", Kind: KindMalformed, Param: name, Err: eris.New("must be a list")}
	}
	return printedBytes(raw) + int64(len(list))*e.cfg.ItemTokens, nil
}

// checkContent returns an *Error if a message has an unknown member or content other
// than text. It rewrites a list of text parts so that no member occurs twice in a part.
func checkContent(message map[string]json.RawMessage) error {
	for name := range message {
		if !admittedMembers[name] {
			return &Error{Op: "prompt", Kind: KindUnsupported, Param: "messages." + name, Err: eris.New("member is not supported")}
		}
	}
	content := message["content"]
	if len(content) == 0 || content[0] != '[' {
		return checkText(content)
	}
	var parts []map[string]json.RawMessage
	if err := json.Unmarshal(content, &parts); err != nil {
		return &Error{Op: "prompt", Kind: KindMalformed, Param: "messages.content", Err: eris.New("must be text or a list of parts")}
	}
	for _, part := range parts {
		var kind string
		if err := json.Unmarshal(part["type"], &kind); err != nil || kind != "text" || len(part) != 2 || part["text"] == nil {
			return &Error{Op: "prompt", Kind: KindUnsupported, Param: "messages.content", Err: eris.New("only text parts are supported")}
		}
	}
	rewritten, err := json.Marshal(parts)
	if err != nil {
		return &Error{Op: "prompt", Kind: KindMalformed, Param: "messages.content", Err: eris.Wrap(err, "encode")}
	}
	message["content"] = rewritten
	return nil
}

// checkText returns an *Error of KindMalformed unless content is text, null or absent.
func checkText(content json.RawMessage) error {
	if len(content) == 0 || content[0] == '"' || bytes.Equal(content, []byte("null")) {
		return nil
	}
	return &Error{Op: "prompt", Kind: KindMalformed, Param: "messages.content", Err: eris.New("must be text or a list of parts")}
}

// printedBytes returns an upper bound on the number of bytes that a template prints for
// raw, with indentation and escapes.
func printedBytes(raw json.RawMessage) int64 {
	if len(raw) == 0 {
		return 0
	}
	var out bytes.Buffer
	if err := json.Indent(&out, raw, "", indent); err != nil {
		return 0
	}
	total := int64(out.Len())
	for _, b := range out.Bytes() {
		if b >= utf8.RuneSelf || b == '<' || b == '>' || b == '&' || b == '\'' {
			total += escapeBytes - 1
		}
	}
	return total
}
