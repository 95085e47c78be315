package kcwcatalog

import (
	"context"
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"

	"kingcupwick.example/kcw/kcwcontract"
	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwpb"
)

// contractMaker answers each lookup with a new contract.
type contractMaker struct {
	fakeLedger
	made int
}

func (m *contractMaker) Lookup(_ context.Context, req *kcwpb.LookupRequest) (*kcwpb.LookupResponse, error) {
	m.made++
	c := &kcwcontract.Contract{
		Customer: fmt.Sprintf("customer-%d", m.made), PrepaidTokens: 1_000_000, Weight: 1,
		Limits: kcwcontract.Limits{MaxPromptTokens: 8000, MaxCompletionTokens: 4000, DefaultCompletionTokens: 500, QueueDeadline: 5e9},
		Keys:   []kcwcontract.Key{{Name: "main", Hash: hex.EncodeToString(req.GetKeyHash())}},
	}
	for i := range 4 {
		c.Keys = append(c.Keys, kcwcontract.Key{Name: fmt.Sprint("key-", i), Hash: hex.EncodeToString(kcwkeyring.Hash(fmt.Sprint(m.made, i)))})
		c.Teams = append(c.Teams, kcwcontract.Team{Name: fmt.Sprint("team-", i), Weight: 1})
		c.Models = append(c.Models, kcwcontract.Model{Name: fmt.Sprint("model-", i), Upstream: fmt.Sprint("service-", i)})
	}
	message := c.Message()
	message.Revision = uint64(m.made)
	return &kcwpb.LookupResponse{Contract: message, Found: true, Revision: uint64(m.made)}, nil
}

// BenchmarkWorkingSet measures the memory of one contract in the working set. A
// contract has five keys, four teams and four models.
func BenchmarkWorkingSet(b *testing.B) {
	const contracts = 4096
	for range b.N {
		c := New(Config{Ledger: &contractMaker{}, Router: "r1", Incarnation: 1, MaxContracts: contracts})
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range contracts {
			if _, err := c.ByKey(b.Context(), fmt.Sprint("key-of-", i)); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/contracts, "heap-B/contract")
		runtime.KeepAlive(c)
	}
}
