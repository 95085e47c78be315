package kcwsettings

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

type upstream struct {
	Name     string `setting:"label"`
	Address  netip.AddrPort
	Capacity int `default:"4" setting:"min=1,max=64"`
}

type common struct {
	Zone string `setting:"required"`
}

type settings struct {
	Host struct {
		common
		Address    netip.AddrPort   `setting:"required"`
		Peers      []netip.AddrPort `default:"127.0.0.1:1, 127.0.0.1:2"`
		Timeout    time.Duration    `default:"5s" setting:"min=1ms,max=1m"`
		Share      float64          `default:"0.5" setting:"min=0,max=1"`
		Policy     string           `default:"endure" setting:"oneof=endure|strand"`
		Teams      []string
		Limit      int64
		Term       uint64
		IsDraining bool
		Bind       netip.Addr
	}
	Upstream map[string]upstream
	Mirror   []upstream
}

func TestDecode(t *testing.T) {
	const text = `# A comment with = in it.
[Host]
zone = ignored
`
	var bad settings
	if err := New("x.ini", []byte(text)).Decode(&bad); err == nil {
		t.Error("a key in the wrong case was accepted")
	}

	const good = `
[Host]
Zone = tallinn-a
Address = [::1]:7000
Timeout = 250ms ; while tests run
Teams = vestry, , bench
Limit = -3
Term = 18446744073709551615
IsDraining = true
Bind = 127.0.0.9
[Upstream "engine-1"]
Address = 127.0.0.1:9000
[Upstream "engine 2"]
Address = 127.0.0.1:9001
Capacity = 64
[Mirror "m"]
`
	var got settings
	if err := New("x.ini", []byte(good)).Decode(&got); err != nil {
		t.Fatal(err)
	}
	var want settings
	want.Host.Zone = "tallinn-a"
	want.Host.Address = netip.MustParseAddrPort("[::1]:7000")
	want.Host.Peers = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")}
	want.Host.Timeout = 250 * time.Millisecond
	want.Host.Share = 0.5
	want.Host.Policy = "endure"
	want.Host.Teams = []string{"vestry", "bench"}
	want.Host.Limit = -3
	want.Host.Term = 18446744073709551615
	want.Host.IsDraining = true
	want.Host.Bind = netip.MustParseAddr("127.0.0.9")
	want.Upstream = map[string]upstream{
		"engine-1": {Name: "engine-1", Address: netip.MustParseAddrPort("127.0.0.1:9000"), Capacity: 4},
		"engine 2": {Name: "engine 2", Address: netip.MustParseAddrPort("127.0.0.1:9001"), Capacity: 64},
	}
	want.Mirror = []upstream{{Name: "m", Capacity: 4}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestDecodeProblems(t *testing.T) {
	const host = "[Host]\nZone = a\nAddress = 127.0.0.1:1\n"
	for _, test := range []struct {
		name, text string
		want       []string
	}{
		{"empty", "", []string{"[Host] Zone: required key is missing", "[Host] Address: required key is missing"}},
		{"emptyRequired", "[Host]\nZone =\nAddress = 127.0.0.1:1\n", []string{"x.ini:2: [Host] Zone: required value is empty"}},
		{"unknownSection", host + "[Hosts]\nA = b\n", []string{"x.ini:4: [Hosts]: unknown section"}},
		{"unknownKey", host + "Adress = x\n", []string{"x.ini:4: [Host] Adress: unknown key"}},
		{"keyOutside", "A = b\n" + host, []string{"x.ini:1: [] A: key outside of a section"}},
		{"duplicateSection", host + host, []string{"x.ini:4: [Host]: duplicate section"}},
		{"duplicateKey", host + "Limit = 1\nLimit = 1\n", []string{"x.ini:5: [Host] Limit: duplicate key"}},
		{"duplicateEmptyKey", host + "Limit =\nLimit = 1\n", []string{"x.ini:5: [Host] Limit: duplicate key"}},
		{"duplicateLabel", host + "[Upstream \"a\"]\n[Upstream \"a\"]\n", []string{"x.ini:5: [Upstream \"a\"]: duplicate section"}},
		{"labelMissing", host + "[Upstream]\n", []string{"section needs a label"}},
		{"labelBare", host + "[Upstream a]\n", []string{"label must be quoted"}},
		{"labelUnwanted", "[Host \"a\"]\n" + host, []string{"section takes no label"}},
		{"twoBadValues", host + "Timeout = 5\nLimit = 1e3\n", []string{"x.ini:4: [Host] Timeout", "x.ini:5: [Host] Limit"}},
		{"badList", host + "Peers = 127.0.0.1:1, b\n", []string{`"b" is not an IP address and port`}},
		{"badBool", host + "IsDraining = maybe\n", []string{`"maybe" is not true or false`}},
		{"tooSmall", host + "Timeout = 1us\n", []string{"1us is less than 1ms"}},
		{"tooLarge", host + "Share = 1.5\n", []string{"1.5 is more than 1"}},
		{"notANumber", host + "Share = NaN\n", []string{"NaN is less than 0"}},
		{"notOneOf", host + "Policy = both\n", []string{`"both" is not one of endure, strand`}},
		{"inRepeated", host + "[Upstream \"a\"]\nCapacity = 65\n", []string{"x.ini:5: [Upstream \"a\"] Capacity: 65 is more than 64"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var into settings
			err := New("x.ini", []byte(test.text)).Decode(&into)
			var typed *Error
			if !errors.As(err, &typed) || typed.Kind != Invalid {
				t.Fatalf("got %v, want an error of kind Invalid", err)
			}
			if len(typed.Problems) != len(test.want) {
				t.Errorf("got %d problems, want %d: %v", len(typed.Problems), len(test.want), err)
			}
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got %q, want it to contain %q", err, want)
				}
			}
		})
	}
}

func TestLoadFailures(t *testing.T) {
	folder := t.TempDir()
	broken := filepath.Join(folder, "broken.ini")
	if err := os.WriteFile(broken, []byte("[Host\nZone"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		path string
		want Kind
	}{
		{filepath.Join(folder, "absent.ini"), Unreadable},
		{broken, Malformed},
	} {
		var into settings
		var typed *Error
		if err := Load(test.path, &into); !errors.As(err, &typed) || typed.Kind != test.want {
			t.Errorf("%s: got %v, want kind %v", test.path, err, test.want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("[Host]\nZone = a\nAddress = 127.0.0.1:1\n"))
	f.Add([]byte("[Upstream \"a\"]\nCapacity=1\nCapacity=1\n[Host]\n[Host]\n"))
	f.Add([]byte("a=b\n[ \"\"]\n[\"]\n=\n[Mirror \"\"]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var into settings
		err := New("x.ini", data).Decode(&into)
		var typed *Error
		switch {
		case err == nil && into.Host.Zone == "":
			t.Error("a missing required key was accepted")
		case err != nil && !errors.As(err, &typed):
			t.Errorf("got %T, want *Error", err)
		}
	})
}
