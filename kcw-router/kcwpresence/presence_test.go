package kcwpresence

import (
	"context"
	"errors"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// fakeLedger answers each Submit with the next of its results, or an error if
// that is nil, and each heartbeat as fenced.
type fakeLedger struct {
	results []*kcwpb.Result
}

func (l *fakeLedger) Submit(context.Context, *kcwpb.Command) (*kcwpb.Result, error) {
	next := l.results[0]
	l.results = l.results[1:]
	if next == nil {
		return nil, errors.New("no leader")
	}
	return next, nil
}

func (l *fakeLedger) Heartbeat(context.Context, *kcwpb.HeartbeatRequest) (*kcwpb.HeartbeatResponse, error) {
	return &kcwpb.HeartbeatResponse{Fenced: true}, nil
}

func TestRegister(t *testing.T) {
	for _, test := range []struct {
		name    string
		results []*kcwpb.Result
		kind    Kind
		fails   bool
	}{
		{"at once", []*kcwpb.Result{{Code: kcwpb.Code_CODE_OK}}, 0, false},
		{"after a failure", []*kcwpb.Result{nil, {Code: kcwpb.Code_CODE_REPEATED}}, 0, false},
		{"fenced", []*kcwpb.Result{{Code: kcwpb.Code_CODE_FENCED}}, KindFenced, true},
		{"invalid", []*kcwpb.Result{{Code: kcwpb.Code_CODE_INVALID}}, 0, true},
	} {
		p := New(Config{Ledger: &fakeLedger{test.results}, Router: "r", Incarnation: 1})
		err := p.Register(t.Context())
		var failure *Error
		if (err != nil) != test.fails || (test.fails && (!errors.As(err, &failure) || failure.Kind != test.kind)) {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}

func TestFenced(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	p := New(Config{
		Ledger: &fakeLedger{}, Router: "r", Incarnation: 1,
		Revision: func() uint64 { return 0 },
		Fenced: func() {
			calls++
			cancel()
		},
	})
	p.Run(ctx)
	if calls != 1 {
		t.Errorf("fenced %d times", calls)
	}
}

func TestIncarnation(t *testing.T) {
	now := time.Unix(100, 0)
	for _, test := range []struct{ last, want uint64 }{
		{0, 100e9},
		{100e9, 100e9 + 1},
		{200e9, 200e9 + 1},
	} {
		if got := Incarnation(now, test.last); got != test.want {
			t.Errorf("Incarnation after %d = %d, want %d", test.last, got, test.want)
		}
	}
}
