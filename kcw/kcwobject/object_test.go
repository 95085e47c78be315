package kcwobject

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// TestMembersAndElements checks that the parts are those that encoding/json finds, and that other
// text is refused.
func TestMembersAndElements(t *testing.T) {
	for _, test := range []struct {
		raw  string
		want string
		kind Kind
	}{
		{`{"a": 1 ,"b":[2,{"c":3}],"a":"x, y"}`, `a=1;b=[2,{"c":3}];a="x, y";`, 0},
		{` { } `, "", 0},
		{"null", "", 0},
		{`[1, "a" ,{"b":[]}, null]`, `1;"a";{"b":[]};null;`, 0},
		{"[]", "", 0},
		{"3", "", OtherType},
		{`{"a":1`, "", Malformed},
		{`{"a":1}x`, "", Malformed},
		{`{"a":1}{}`, "", Malformed},
		{`[1,]`, "", Malformed},
		{`{"a":01}`, "", Malformed},
		{`[1 2]`, "", Malformed},
		{``, "", Malformed},
	} {
		var got strings.Builder
		var err error
		if strings.HasPrefix(test.raw, "[") {
			err = Elements([]byte(test.raw), func(value json.RawMessage) error {
				got.WriteString(string(value) + ";")
				return nil
			})
		} else {
			err = Members([]byte(test.raw), func(name string, value json.RawMessage) error {
				got.WriteString(name + "=" + string(value) + ";")
				return nil
			})
		}
		var failure *Error
		if test.kind == 0 && (err != nil || got.String() != test.want) {
			t.Errorf("%s: got %s and error %v", test.raw, got.String(), err)
		}
		if test.kind != 0 && (!errors.As(err, &failure) || failure.Kind != test.kind) {
			t.Errorf("%s: error %v, want kind %d", test.raw, err, test.kind)
		}
	}
}
