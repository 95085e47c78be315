package kcwlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/go-kratos/kratos/v2/log"
	"k8s.io/klog/v2"
)

func TestLevels(t *testing.T) {
	for _, test := range []struct {
		level string
		want  []string
	}{
		{"error", []string{"failed", "kratos"}},
		{"warning", []string{"failed", "kratos"}},
		{"", []string{"plain", "failed", "kratos"}},
		{"debug", []string{"plain", "fine", "failed", "kratos"}},
		{"trace", []string{"plain", "fine", "finest", "failed", "kratos"}},
	} {
		var out bytes.Buffer
		logger, err := New(Config{Writer: &out, Level: test.level, Program: "kcw-router", Host: "entry-1"})
		if err != nil {
			t.Fatal(err)
		}
		klog.InfoS("plain", "Customer", "parish")
		klog.V(DebugVerbosity).InfoS("fine")
		klog.V(TraceVerbosity).InfoS("finest")
		klog.ErrorS(errors.New("cause"), "failed", "Request", "r-1")
		if err := logger.Log(log.LevelError, log.DefaultMessageKey, "text"); err != nil {
			t.Error(err)
		}
		logger.Close()
		var got []string
		for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			var fields map[string]any
			if err := json.Unmarshal([]byte(line), &fields); err != nil {
				t.Fatalf("%q is not JSON: %v", line, err)
			}
			for _, key := range []string{"Time", "Level", "Program", "Host"} {
				if fields[key] == nil {
					t.Errorf("level %q: %s lacks %s", test.level, line, key)
				}
			}
			if fields["Message"] == "failed" && fields["Error"] != "cause" {
				t.Errorf("%s lacks the error", line)
			}
			got = append(got, fields["Message"].(string))
		}
		if strings.Join(got, " ") != strings.Join(test.want, " ") {
			t.Errorf("level %q: got %v, want %v", test.level, got, test.want)
		}
	}
}

func TestUnknownLevel(t *testing.T) {
	_, err := New(Config{Writer: &bytes.Buffer{}, Level: "loud"})
	var typed *Error
	if !errors.As(err, &typed) || typed.Kind != UnknownLevel {
		t.Errorf("got %v, want kind UnknownLevel", err)
	}
}
