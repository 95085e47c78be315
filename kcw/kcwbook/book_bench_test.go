package kcwbook_test

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwbook"
	"kingcupwick.example/kcw/kcwpb"
)

// budgets is the number of contracts that the design must support.
const budgets = 27_000

// newFilledBook returns a book with that many contracts and one router.
func newFilledBook(b *testing.B) *kcwbook.Book {
	b.Helper()
	book := kcwbook.New()
	for i := range budgets {
		apply(book, uint64(i), &kcwpb.Command{At: start, Op: &kcwpb.Command_PutContract{PutContract: &kcwpb.PutContract{
			Change: "c-1", Contract: &kcwpb.Contract{
				Customer: fmt.Sprintf("customer-%05d", i), PrepaidTokens: 1 << 40, Spec: make([]byte, 800),
				Limits: &kcwpb.Limits{OpenRequests: 1 << 30, RequestsPerMinute: 1 << 30, TokensPerMinute: 1 << 40},
			},
		}}})
	}
	apply(book, budgets, &kcwpb.Command{At: start, Op: &kcwpb.Command_RegisterRouter{RegisterRouter: &kcwpb.RegisterRouter{Router: "a", Incarnation: 1}}})
	return book
}

// claimCommands returns the marshalled commands that open and settle the claim of
// request i.
func claimCommands(i int, at int64) (open, settle []byte) {
	name, request := fmt.Sprintf("customer-%05d", i%budgets), fmt.Sprintf("01234567-89ab-cdef-0123-%012d", i)
	open, _ = proto.Marshal(&kcwpb.Command{At: at, Op: &kcwpb.Command_OpenClaim{OpenClaim: &kcwpb.OpenClaim{
		Customer: name, Request: request, Tokens: 900, Router: "a", Incarnation: 1, Repeatable: true,
		LeaseNanos: int64(time.Minute), Digest: make([]byte, 32), Attempt: uint64(i + 1),
	}}})
	settle, _ = proto.Marshal(&kcwpb.Command{At: at, Op: &kcwpb.Command_SettleClaim{SettleClaim: &kcwpb.SettleClaim{
		Customer: name, Request: request, Tokens: 400, Router: "a", Incarnation: 1, Repeatable: true, Attempt: uint64(i + 1),
		Outcome: ran, Upstream: "kcw-model-01", AnswerDigest: make([]byte, 32),
	}}})
	return open, settle
}

func BenchmarkOpenSettle(b *testing.B) {
	book := newFilledBook(b)
	opens, settles := make([][]byte, b.N), make([][]byte, b.N)
	for i := range b.N {
		opens[i], settles[i] = claimCommands(i, start+int64(i)*int64(time.Millisecond))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		book.Apply(uint64(2*i), opens[i])
		book.Apply(uint64(2*i+1), settles[i])
	}
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkClaims reports the memory per open and per closed claim. With a million
// claims it reports how long Freeze blocks Apply, how long the image takes to
// write, and how long the first two commands after Freeze take.
func BenchmarkClaims(b *testing.B) {
	const claims = 1_000_000
	for range b.N {
		book := newFilledBook(b)
		base := heap()
		for i := range claims / 10 {
			open, _ := claimCommands(i, start)
			book.Apply(uint64(i), open)
		}
		b.ReportMetric((heap()-base)/(claims/10), "bytes/open")
		for i := range claims / 10 {
			_, settle := claimCommands(i, start)
			book.Apply(uint64(i), settle)
		}
		for i := claims / 10; i < claims; i++ {
			open, settle := claimCommands(i, start)
			book.Apply(uint64(i), open)
			book.Apply(uint64(i), settle)
		}
		b.ReportMetric((heap()-base)/claims, "bytes/closed")
		begin := time.Now()
		write := book.Freeze()
		b.ReportMetric(float64(time.Since(begin).Microseconds()), "µs/freeze")
		begin = time.Now()
		if err := write(io.Discard); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(begin).Milliseconds()), "ms/write")
		open, settle := claimCommands(claims, start)
		begin = time.Now()
		book.Apply(1, open)
		book.Apply(2, settle)
		b.ReportMetric(float64(time.Since(begin).Microseconds()), "µs/first-pair")
	}
}
