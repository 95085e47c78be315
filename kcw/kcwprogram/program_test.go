package kcwprogram

import (
	"errors"
	"strings"
	"testing"
)

func TestRun(t *testing.T) {
	broken := errors.New("broken")
	for _, test := range []struct {
		name   string
		args   []string
		load   error
		serve  error
		served bool
		want   int
		output string
	}{
		{"serves", []string{"-settings", "x.ini"}, nil, nil, true, 0, ""},
		{"checks", []string{"-settings", "x.ini", "-check"}, nil, nil, false, 0, ""},
		{"help", []string{"-help"}, nil, nil, false, 0, "-settings"},
		{"no settings", nil, nil, nil, false, 2, "give -settings FILE"},
		{"argument", []string{"-settings", "x.ini", "more"}, nil, nil, false, 2, "give -settings FILE"},
		{"unknown flag", []string{"-set", "x.ini"}, nil, nil, false, 2, "-set"},
		{"bad settings", []string{"-settings", "x.ini"}, broken, nil, false, 2, "broken"},
		{"bad settings checked", []string{"-settings", "x.ini", "-check"}, broken, nil, false, 2, "broken"},
		{"failure", []string{"-settings", "x.ini"}, nil, broken, true, 1, "broken"},
	} {
		var out strings.Builder
		served := false
		p := New(Config{
			Name: "kcw-test", Help: "Tests.", Errors: &out,
			Load: func(path string) (func() error, error) {
				if path != "x.ini" {
					t.Errorf("%s: loaded %q", test.name, path)
				}
				return func() error {
					served = true
					return test.serve
				}, test.load
			},
		})
		if got := p.Run(t.Context(), test.args); got != test.want {
			t.Errorf("%s: got exit code %d, want %d", test.name, got, test.want)
		}
		if served != test.served {
			t.Errorf("%s: served %v, want %v", test.name, served, test.served)
		}
		if !strings.Contains(out.String(), test.output) {
			t.Errorf("%s: printed %q, want it to contain %q", test.name, out.String(), test.output)
		}
	}
}
