package kcwratelimit_test

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwratelimit"
)

// TestMessage checks that a limit is the same at another process, by that process's clock.
func TestMessage(t *testing.T) {
	const delay = 5 * time.Second
	for _, l := range []kcwratelimit.Limit{answer(4, 1, 2), answer(0, 1, 2), {Upstream: "u", PerSecond: 1e6, AnsweredAt: start}} {
		got, err := kcwratelimit.Decode(l.Encode(start.Add(delay)), start.Add(time.Hour+delay))
		if err != nil {
			t.Fatal(err)
		}
		want := l
		want.AnsweredAt = l.AnsweredAt.Add(time.Hour)
		if !l.SentAt.IsZero() {
			want.SentAt = l.SentAt.Add(time.Hour)
		}
		if got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

// FuzzDecode checks that no message leads to a limit that others refuse or that is not a
// number.
func FuzzDecode(f *testing.F) {
	for _, m := range []*kcwpb.UpstreamLimit{
		{Upstream: "u", Service: "s", PerSecond: 3.5, AgeNanos: 1, ElapsedNanos: 1},
		{Upstream: "u", PerSecond: math.NaN()},
		{Upstream: strings.Repeat("x", 300)},
		{Upstream: "u", AgeNanos: math.MaxInt64, ElapsedNanos: math.MaxInt64},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &kcwpb.UpstreamLimit{}
		if proto.Unmarshal(data, m) != nil {
			t.Skip()
		}
		l, err := kcwratelimit.Decode(m, start)
		var e *kcwratelimit.Error
		if err != nil {
			if !errors.As(err, &e) || len(err.Error()) > 1000 {
				t.Fatalf("the error is %v", err)
			}
			return
		}
		if !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 0) || l.AnsweredAt.After(start) || !l.IsEncodable() {
			t.Fatalf("the limit is %+v", l)
		}
	})
}
