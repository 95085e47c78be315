package kcwtoken

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// seed is the fixed seed of the random tests.
const seed = 20261204

func fieldsOf(t *testing.T, body string) map[string]json.RawMessage {
	t.Helper()
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal([]byte(body), &fields); err != nil {
		t.Fatal(err)
	}
	return fields
}

func TestPrompt(t *testing.T) {
	for _, test := range []struct {
		name, body string
		kind       Kind
	}{
		{"text", `{"messages":[{"role":"user","content":"hi"}]}`, 0},
		{"parts", `{"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`, 0},
		{"tools", `{"messages":[{"role":"user","content":null}],"tools":[{"type":"function"}]}`, 0},
		{"no messages", `{"model":"m"}`, KindMalformed},
		{"empty messages", `{"messages":[]}`, KindMalformed},
		{"number", `{"messages":[{"role":"user","content":3}]}`, KindMalformed},
		{"image", `{"messages":[{"role":"user","content":[{"type":"image_url","image_url":{"url":"x"}}]}]}`, KindUnsupported},
		{"two contents", `{"messages":[{"role":"user","content":[{"type":"text","text":"a"}],"Content":"b"}]}`, KindUnsupported},
		{"template", `{"messages":[{"role":"user","content":"hi"}],"chat_template":"x"}`, KindUnsupported},
		{"tools not a list", `{"messages":[{"role":"user","content":"hi"}],"tools":3}`, KindMalformed},
	} {
		_, err := New(Config{}).Prompt(fieldsOf(t, test.body))
		checkKind(t, test.name, err, test.kind)
	}
}

func checkKind(t *testing.T, name string, err error, kind Kind) {
	t.Helper()
	var failure *Error
	if kind == 0 && err != nil {
		t.Errorf("%s: %v", name, err)
	}
	if kind != 0 && (!errors.As(err, &failure) || failure.Kind != kind) {
		t.Errorf("%s: error %v, want kind %d", name, err, kind)
	}
}

// TestPromptBoundsBytes checks for random texts that the bound is at least the number
// of bytes of the decoded text plus the tokens that the template adds.
func TestPromptBoundsBytes(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	properties := gopter.NewProperties(parameters)
	properties.Property("bound >= bytes of text and template", prop.ForAll(func(texts []string) bool {
		var messages []map[string]string
		want := int64(defaultRequestTokens)
		for _, text := range texts {
			text = strings.ToValidUTF8(text, "?")
			messages = append(messages, map[string]string{"role": "user", "content": text})
			want += int64(len(text)) + defaultItemTokens
		}
		if len(messages) == 0 {
			return true
		}
		raw, _ := json.Marshal(messages)
		bound, err := New(Config{}).Prompt(map[string]json.RawMessage{"messages": raw})
		return err == nil && bound >= want
	}, gen.SliceOf(gen.AnyString())))
	properties.TestingRun(t)
}

func TestCompletion(t *testing.T) {
	for _, test := range []struct {
		name, body             string
		defaultLimit, maxLimit int64
		perChoice, choices     int64
		kind                   Kind
	}{
		{"unset", `{}`, 100, 1000, 100, 1, 0},
		{"no default", `{}`, 0, 1000, 1000, 1, 0},
		{"set", `{"max_tokens":7}`, 100, 1000, 7, 1, 0},
		{"newer name", `{"max_tokens":7,"max_completion_tokens":9}`, 100, 1000, 9, 1, 0},
		{"clamped", `{"max_tokens":7000}`, 100, 1000, 1000, 1, 0},
		{"choices", `{"n":3}`, 100, 1000, 100, 3, 0},
		{"null", `{"n":null,"max_tokens":null}`, 100, 1000, 100, 1, 0},
		{"too many choices", `{"n":9}`, 100, 1000, 0, 0, KindTooLong},
		{"no limit", `{}`, 0, 0, 0, 0, KindTooLong},
		{"negative", `{"max_tokens":-1}`, 100, 1000, 0, 0, KindMalformed},
		{"fraction", `{"n":1.5}`, 100, 1000, 0, 0, KindMalformed},
	} {
		perChoice, choices, err := New(Config{}).Completion(fieldsOf(t, test.body), test.defaultLimit, test.maxLimit)
		checkKind(t, test.name, err, test.kind)
		if perChoice != test.perChoice || choices != test.choices {
			t.Errorf("%s: Completion = %d, %d, want %d, %d", test.name, perChoice, choices, test.perChoice, test.choices)
		}
	}
}

// TestPrintedBytes checks the count against what json.Indent writes.
func TestPrintedBytes(t *testing.T) {
	for _, raw := range []string{
		`{}`, `[]`, `3`, `"a"`, `[[],{}]`, `[[[1,2],3],"a, [b] {c}: \\\"d\\\\"]`, `{"a":{"b":[1,{"c":null}]},"d":""}`, ` [ 1 , 2 ] `,
	} {
		var out bytes.Buffer
		if err := json.Indent(&out, []byte(strings.TrimSpace(raw)), "", indent); err != nil {
			t.Fatalf("%s: %v", raw, err)
		}
		if got := printedBytes(json.RawMessage(raw)); got != int64(out.Len()) {
			t.Errorf("%s: counted %d bytes, json.Indent writes %d", raw, got, out.Len())
		}
	}
}

// TestManyParts guards against a request of many short parts that is decoded whole: the first member
// that is not supported ends it.
func TestManyParts(t *testing.T) {
	const parts = 100000
	_, err := Fields([]byte(`{"messages":[],"x":1` + strings.Repeat(`,"y":1`, parts) + `}`))
	checkKind(t, "fields", err, KindUnsupported)
	deep := strings.Repeat("[", 1000) + "1" + strings.Repeat(",1", parts) + strings.Repeat("]", 1000)
	bound, err := New(Config{}).Prompt(fieldsOf(t, `{"messages":[{"content":"a"}],"tools":`+deep+`}`))
	checkKind(t, "tools", err, 0)
	if bound < 1000*parts {
		t.Errorf("the bound is %d", bound)
	}
}
