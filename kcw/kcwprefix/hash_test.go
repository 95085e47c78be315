package kcwprefix

import (
	"encoding/json"
	"testing"
)

func newHasher() *Hasher { return New(Config{Messages: 1, Bytes: 64}) }

func TestSum(t *testing.T) {
	const system = `[{"role":"system","content":"You draft surveys."},{"role":"user","content":"A pew."}]`
	h := newHasher()
	want := h.Sum("m", json.RawMessage(system))
	if want != 0xfe8bc4626cafe7b1 {
		t.Errorf("the hash has changed: %#x", want)
	}
	for _, test := range []struct {
		name     string
		model    string
		messages string
		same     bool
	}{
		{name: "another later message", model: "m", messages: `[{"role":"system","content":"You draft surveys."},{"role":"user","content":"A door."}]`, same: true},
		{name: "white space", model: "m", messages: ` [ {"role": "system", "content":"You draft surveys."} ]`, same: true},
		{name: "another first message", model: "m", messages: `[{"role":"system","content":"You draft letters."}]`},
		{name: "another model", model: "n", messages: system},
		{name: "empty model", model: "", messages: system},
	} {
		if got := h.Sum(test.model, json.RawMessage(test.messages)); (got == want) != test.same || got == 0 {
			t.Errorf("%s: %#x", test.name, got)
		}
	}
	for _, messages := range []string{"", "null", "[]", "{}", `"x"`, "[", `[{"role":`} {
		if got := h.Sum("m", json.RawMessage(messages)); got != 0 {
			t.Errorf("%q: %#x, want 0", messages, got)
		}
	}
}

// FuzzSum checks that Sum accepts arbitrary bytes, and that leading white space doesn't
// affect the hash.
func FuzzSum(f *testing.F) {
	for _, seed := range []string{"", "[]", `[{"role":"user","content":"x"}]`, "[1,", "[[[", "[\"\\ud800\"]", "{\"a\":[]}"} {
		f.Add("m", []byte(seed))
	}
	f.Fuzz(func(t *testing.T, model string, messages []byte) {
		h := newHasher()
		spaced := append([]byte(" \n"), messages...)
		if h.Sum(model, messages) != h.Sum(model, spaced) {
			t.Error("leading white space changed the hash")
		}
	})
}
