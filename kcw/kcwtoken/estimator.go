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
	"errors"
	"math"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwobject"
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
	// maxNameBytes is how much of a member's name errors show.
	maxNameBytes = 64
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

// errTooLong is the error of a prompt whose bound is too large.
var errTooLong = &Error{Op: "prompt", Kind: KindTooLong, Param: "messages", Err: eris.New("prompt has too many tokens")}

// Prompt returns an upper bound on the tokens of the prompt in fields, the members of
// a chat request. It rewrites the messages so that no member occurs twice in a
// message. It returns an *Error of KindUnsupported for content without a bound, of
// KindMalformed for messages or tools that can't be decoded, and of KindTooLong if the
// bound is too large.
func (e *Estimator) Prompt(fields map[string]json.RawMessage) (int64, error) {
	total := e.cfg.RequestTokens
	for name, value := range fields {
		if !admittedParameters[name] {
			return 0, &Error{Op: "prompt", Kind: KindUnsupported, Param: name[:min(len(name), maxNameBytes)], Err: eris.New("parameter is not supported")}
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
		return 0, errTooLong
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

// Fields returns the members of a chat request. Of a member that is repeated it returns the last.
// The values are parts of body. The error is an *Error of KindMalformed if the body is not a JSON
// object, and of KindUnsupported at the first member that Prompt would refuse.
func Fields(body []byte) (map[string]json.RawMessage, error) {
	fields, err := members(body, admittedParameters, "")
	var failure *Error
	switch {
	case errors.As(err, &failure):
		return nil, err
	case err != nil || bytes.Equal(bytes.TrimSpace(body), []byte("null")):
		return nil, &Error{Op: "fields", Kind: KindMalformed, Err: eris.New("must be an object")}
	}
	return fields, nil
}

// members returns the members of an object. It returns an *Error of KindUnsupported at the first whose
// name is not admitted; prefix is put before the name.
func members(raw []byte, admitted map[string]bool, prefix string) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	err := kcwobject.Members(raw, func(name string, value json.RawMessage) error {
		if !admitted[name] {
			return &Error{Op: "prompt", Kind: KindUnsupported, Param: prefix + name[:min(len(name), maxNameBytes)], Err: eris.New("member is not supported")}
		}
		fields[name] = value
		return nil
	})
	return fields, err
}

// messages returns an upper bound on the tokens that a template adds to the messages
// beyond their bytes, and rewrites the messages as Prompt describes.
func (e *Estimator) messages(fields map[string]json.RawMessage) (int64, error) {
	var total int64
	var out bytes.Buffer
	out.WriteByte('[')
	err := kcwobject.Elements(fields["messages"], func(value json.RawMessage) error {
		message, err := members(value, admittedMembers, "messages.")
		if err != nil {
			return err
		}
		if err := checkContent(message); err != nil {
			return err
		}
		total += e.cfg.ItemTokens + printedBytes(message["tool_calls"]) + printedBytes(message["function_call"])
		if total > maxBound {
			return errTooLong
		}
		return appendElement(&out, message)
	})
	var failure *Error
	switch {
	case errors.As(err, &failure):
		return 0, err
	case err != nil || total == 0:
		return 0, &Error{Op: "prompt", Kind: KindMalformed, Param: "messages", Err: eris.New("must be a list of at least one message")}
	}
	out.WriteByte(']')
	fields["messages"] = out.Bytes()
	return total, nil
}

// appendElement adds an element to the text of a JSON array, without escaping HTML characters.
func appendElement(out *bytes.Buffer, element any) error {
	if out.Len() > 1 {
		out.WriteByte(',')
	}
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(element); err != nil {
		return err
	}
	// Encode adds a newline.
	out.Truncate(out.Len() - 1)
	return nil
}

// tools returns an upper bound on the number of tokens that a template prints for the tools in
// raw.
func (e *Estimator) tools(name string, raw json.RawMessage) (int64, error) {
	if raw == nil || bytes.Equal(raw, []byte("null")) {
		return 0, nil
	}
	total := printedBytes(raw)
	err := kcwobject.Elements(raw, func(json.RawMessage) error {
		total += e.cfg.ItemTokens
		return nil
	})
	if err != nil {
		return 0, &Error{Op: "prompt", Kind: KindMalformed, Param: name, Err: eris.New("must be a list")}
	}
	return total, nil
}

// checkContent returns an *Error if a message has content other than text. It rewrites a list of
// text parts so that no member occurs twice in a part.
func checkContent(message map[string]json.RawMessage) error {
	content := message["content"]
	if len(content) == 0 || content[0] != '[' {
		return checkText(content)
	}
	unsupported := &Error{Op: "prompt", Kind: KindUnsupported, Param: "messages.content", Err: eris.New("only text parts are supported")}
	var out bytes.Buffer
	out.WriteByte('[')
	err := kcwobject.Elements(content, func(value json.RawMessage) error {
		part, err := members(value, admittedPartMembers, "")
		var failure *Error
		if errors.As(err, &failure) {
			return unsupported
		}
		if err != nil {
			return err
		}
		var kind string
		if err := json.Unmarshal(part["type"], &kind); err != nil || kind != "text" || part["text"] == nil {
			return unsupported
		}
		return appendElement(&out, part)
	})
	if err == unsupported {
		return unsupported
	}
	if err != nil {
		return &Error{Op: "prompt", Kind: KindMalformed, Param: "messages.content", Err: eris.New("must be text or a list of parts")}
	}
	out.WriteByte(']')
	message["content"] = out.Bytes()
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
// raw, with indentation and escapes. It counts what json.Indent writes, which may be thousands of
// times as long as raw.
func printedBytes(raw json.RawMessage) int64 {
	var total, depth int64
	isText, isEscaped, isOpened := false, false, false
	line := func() { total += 1 + depth*int64(len(indent)) }
	for _, b := range raw {
		if !isText && (b == ' ' || b == '\t' || b == '\r' || b == '\n') {
			continue
		}
		if isOpened && b != '}' && b != ']' {
			depth++
			line()
			isOpened = false
		}
		total++
		if b >= utf8.RuneSelf || b == '<' || b == '>' || b == '&' || b == '\'' {
			total += escapeBytes - 1
		}
		switch {
		case isEscaped:
			isEscaped = false
		case isText && b == '\\':
			isEscaped = true
		case b == '"':
			isText = !isText
		case isText:
		case b == '{' || b == '[':
			isOpened = true
		case b == ',':
			line()
		case b == ':':
			total++
		case (b == '}' || b == ']') && !isOpened:
			depth--
			line()
		case b == '}' || b == ']':
			isOpened = false
		}
	}
	return total
}
