package kcwbook_test

import (
	"bytes"
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwbook"
	"kingcupwick.example/kcw/kcwpb"
)

func FuzzRestore(f *testing.F) {
	l := newStockedLedger(f)
	l.wantCode(l.open(opening("a", "r", 100)), ok)
	l.wantCode(l.draw("a", 100, 1, 1), ok)
	f.Add(snapshot(f, l.book))
	f.Add([]byte{})
	f.Add([]byte{0x80, 0x80, 0x80, 0x80, 0x80, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		book := kcwbook.New()
		if err := book.Restore(bytes.NewReader(data)); err != nil {
			var typed *kcwbook.Error
			if !errors.As(err, &typed) || typed.Kind != kcwbook.KindDamaged {
				t.Fatalf("error %v", err)
			}
			return
		}
		if err := book.Check(); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzApply(f *testing.F) {
	for _, command := range []*kcwpb.Command{
		{At: start, Op: &kcwpb.Command_OpenClaim{OpenClaim: opening("a", "r", 100)}},
		{At: start, Op: &kcwpb.Command_TopUp{TopUp: &kcwpb.TopUp{Change: "t", Customer: customer, Tokens: -1 << 63}}},
		{At: start, Op: &kcwpb.Command_PutContract{}},
	} {
		data, err := proto.Marshal(command)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		l := newStockedLedger(t)
		l.wantCode(l.open(opening("a", "r", 100)), ok)
		first := l.book.Apply(9, data)
		if first == nil {
			t.Fatal("no result")
		}
		if err := l.book.Check(); err != nil {
			t.Fatal(err)
		}
	})
}
