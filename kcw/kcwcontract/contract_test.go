package kcwcontract_test

import (
	"bytes"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwcontract"
)

const (
	hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

// whole is a valid contract in which every field is set.
const whole = `{
  "Customer": "granite-pew",
  "PrepaidTokens": 1000000,
  "Priority": 3,
  "Weight": 10,
  "Limits": {
    "OpenRequests": 50, "RequestsPerMinute": 600, "TokensPerMinute": 200000,
    "MaxPromptTokens": 8000, "MaxCompletionTokens": 4000, "DefaultCompletionTokens": 500,
    "QueueDeadline": "5s"
  },
  "AnswerRetention": "10m",
  "Keys": [
    {"Name": "vestry", "Hash": "` + hashB + `"},
    {"Name": "bench", "Hash": "` + hashA + `", "Team": "foremen"}
  ],
  "Teams": [{"Name": "foremen", "Weight": 3, "Priority": 1}],
  "Models": [{"Name": "survey-large", "Upstream": "kcw-model"}],
  "Services": [{
    "Name": "parish-desk", "PathPrefix": "/desk", "Methods": ["POST", "GET"], "CostTokens": 5,
    "NotRepeatable": ["/desk/deposits", "/desk/crew"]
  }]
}`

func TestDecodeWhole(t *testing.T) {
	c, err := kcwcontract.Decode([]byte(whole))
	if err != nil {
		t.Fatal(err)
	}
	if c.Limits.QueueDeadline != 5*time.Second || c.AnswerRetention != 10*time.Minute {
		t.Errorf("durations %s and %s", c.Limits.QueueDeadline, c.AnswerRetention)
	}
	if key, found := c.KeyByHash(hashA); !found || key.Team != "foremen" {
		t.Errorf("key %+v %v", key, found)
	}
	if m := c.Message(); len(m.GetKeyHashes()) != 2 || m.GetKeyHashes()[0][0] != 0xaa || m.GetLimits().GetOpenRequests() != 50 {
		t.Errorf("message %+v", m)
	}
}

func TestCanonical(t *testing.T) {
	c, err := kcwcontract.Decode([]byte(whole))
	if err != nil {
		t.Fatal(err)
	}
	first := c.Canonical()
	second, err := kcwcontract.Decode(first)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(first, second.Canonical()) {
		t.Errorf("canonical form changes: %s then %s", first, second.Canonical())
	}
	slices.Reverse(second.Keys)
	slices.Reverse(second.Services[0].Methods)
	if !bytes.Equal(first, second.Canonical()) {
		t.Errorf("canonical form depends on the order: %s", second.Canonical())
	}
}

func TestMessageRoundTrip(t *testing.T) {
	c, err := kcwcontract.Decode([]byte(whole))
	if err != nil {
		t.Fatal(err)
	}
	m := c.Message()
	if bytes.Contains(m.GetSpec(), []byte("Prepaid")) || bytes.Contains(m.GetSpec(), []byte("Revision")) {
		t.Errorf("spec %s", m.GetSpec())
	}
	m.Revision, m.PrepaidTokens = 7, 5
	back, err := kcwcontract.FromMessage(m)
	if err != nil {
		t.Fatal(err)
	}
	if back.Revision != 7 || back.PrepaidTokens != 5 {
		t.Errorf("revision %d, prepaid %d", back.Revision, back.PrepaidTokens)
	}
	back.PrepaidTokens = c.PrepaidTokens
	if !bytes.Equal(c.Canonical(), back.Canonical()) {
		t.Errorf("%s came back as %s", c.Canonical(), back.Canonical())
	}
	m.Customer = "kviitung"
	if _, err := kcwcontract.FromMessage(m); err == nil {
		t.Error("the spec of another customer was accepted")
	}
}

func TestDecodeRefuses(t *testing.T) {
	for _, test := range []struct {
		name     string
		old, new string
		kind     kcwcontract.Kind
		want     []string
	}{
		{"unknown field", `"Weight": 10`, `"Wieght": 10`, kcwcontract.KindSyntax, []string{"Wieght: is not a known field"}},
		{"wrong case", `"Weight": 10`, `"weight": 10`, kcwcontract.KindSyntax, []string{"weight: is not a known field"}},
		{"duplicate", `"Weight": 10`, `"Weight": 10, "Weight": 11`, kcwcontract.KindSyntax, []string{"Weight: stands twice"}},
		{"wrong type", `"Weight": 10`, `"Weight": "10"`, kcwcontract.KindSyntax, []string{"Weight: is not a number"}},
		{"fraction", `"Weight": 10`, `"Weight": 1.5`, kcwcontract.KindSyntax, []string{"Weight: 1.5 is not a whole number in range"}},
		{"null", `"Weight": 10`, `"Weight": null`, kcwcontract.KindSyntax, []string{"Weight: is not a number"}},
		{"revision", `"Weight": 10`, `"Revision": 10`, kcwcontract.KindSyntax, []string{"Revision: is not a known field"}},
		{"bad duration", `"5s"`, `"5"`, kcwcontract.KindSyntax, []string{`Limits.QueueDeadline: "5" is not a duration`}},
		{"missing limit", `"OpenRequests": 50, `, ``, kcwcontract.KindSyntax, []string{"Limits.OpenRequests: is missing"}},
		{"out of range", `"PrepaidTokens": 1000000`, `"PrepaidTokens": -1`, kcwcontract.KindInvalid, []string{"PrepaidTokens: -1 is not from 0"}},
		{"too large", `"PrepaidTokens": 1000000`, `"PrepaidTokens": 9223372036854775808`, kcwcontract.KindSyntax, []string{"PrepaidTokens: 9223372036854775808 is not"}},
		{"key in clear text", hashA, "secret", kcwcontract.KindInvalid, []string{"Keys[1].Hash: is not a SHA-256"}},
		{"key twice", hashA, hashB, kcwcontract.KindInvalid, []string{"Keys[1].Hash"}},
		{"unknown team", `"Team": "foremen"`, `"Team": "sextons"`, kcwcontract.KindInvalid, []string{`Keys[1].Team: "sextons" is not a team`}},
		{"path outside", `"/desk/crew"`, `"/deskcrew"`, kcwcontract.KindInvalid, []string{`Services[0].NotRepeatable[1]: "/deskcrew" is not under "/desk"`}},
		{"unclean path", `"/desk/crew"`, `"/desk/../desk"`, kcwcontract.KindInvalid, []string{"Services[0].NotRepeatable[1]"}},
		{"method", `"POST", "GET"`, `"post", "GET"`, kcwcontract.KindInvalid, []string{`Services[0].Methods[0]: "post" is not one of`}},
		{
			"all at once", `"Priority": 3,`, `"Priority": 30, "Extra": 1, "AnswerRetention": 5,`, kcwcontract.KindSyntax,
			[]string{"Extra: is not a known field", "AnswerRetention: is not a duration", "AnswerRetention: stands twice", "Priority: 30 is not from 0 to 9"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(whole, test.old, test.new, 1)
			_, err := kcwcontract.Decode([]byte(text))
			var typed *kcwcontract.Error
			if !errors.As(err, &typed) || typed.Kind != test.kind {
				t.Fatalf("error %v", err)
			}
			for _, want := range test.want {
				if !slices.ContainsFunc(typed.Problems, func(p string) bool { return strings.HasPrefix(p, want) }) {
					t.Errorf("no %q among %q", want, typed.Problems)
				}
			}
		})
	}
}

func TestDecodeRefusesShape(t *testing.T) {
	for _, test := range []struct{ name, text string }{
		{"empty", ""},
		{"cut off", whole[:len(whole)-1]},
		{"trailing data", whole + "{}"},
		{"list", "[]"},
		{"number", "1"},
		{"not UTF-8", strings.Replace(whole, "granite", "\xff", 1)},
		{"deep", strings.Repeat("[", 100_000)},
		{"too large", whole + strings.Repeat(" ", 2<<20)},
	} {
		t.Run(test.name, func(t *testing.T) {
			var typed *kcwcontract.Error
			if _, err := kcwcontract.Decode([]byte(test.text)); !errors.As(err, &typed) || len(typed.Problems) == 0 {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestService(t *testing.T) {
	c, err := kcwcontract.Decode([]byte(whole))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		path       string
		found      bool
		repeatable bool
	}{
		{"/desk", true, true},
		{"/desk/visits", true, true},
		{"/desk/deposits", true, false},
		{"/desk/deposits/", true, false},
		{"/desk/deposits/7", true, false},
		{"/desk/depositsx", true, true},
		{"/deskx", false, true},
		{"/desk/x/../deposits", false, false},
		{"/desk//deposits", false, false},
		{"/desk/./deposits", false, false},
		{"", false, false},
		{"/", false, true},
	} {
		_, found := c.Service(test.path)
		if found != test.found {
			t.Errorf("%q: found %v", test.path, found)
		}
		if repeatable := c.Services[0].Repeatable(test.path); repeatable != test.repeatable {
			t.Errorf("%q: repeatable %v", test.path, repeatable)
		}
	}
	if !c.Services[0].Admits("GET") || c.Services[0].Admits("DELETE") {
		t.Error("methods")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(whole))
	f.Add([]byte(strings.Replace(whole, `"Weight": 10`, `"Weight": 10, "Weight": 1e400`, 1)))
	f.Add([]byte(`{"Limits":[{}],"Keys":{},"Customer":{"A":1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := kcwcontract.Decode(data)
		if err != nil {
			var typed *kcwcontract.Error
			if !errors.As(err, &typed) || len(typed.Problems) == 0 {
				t.Fatalf("error without problems: %v", err)
			}
			return
		}
		second, err := kcwcontract.Decode(c.Canonical())
		if err != nil {
			t.Fatalf("the canonical form was rejected: %v", err)
		}
		if !bytes.Equal(c.Canonical(), second.Canonical()) {
			t.Fatalf("the canonical form changes: %s", second.Canonical())
		}
		if _, err := kcwcontract.FromMessage(c.Message()); err != nil {
			t.Fatalf("the message was rejected: %v", err)
		}
	})
}
