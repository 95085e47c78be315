package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"kingcupwick.example/kcw-ledger/kcwsetup"
	"kingcupwick.example/kcw/kcwcontract"
	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
)

var testKeys = kcwsetup.Keys{Peer: "peer-key", Router: "router-key", Operator: "operator-key"}

// member is one replica of a test's ledger, run in the test's process.
type member struct {
	*replica
	server *khttp.Server
}

// fleet is a ledger of several replicas on loopback.
type fleet struct {
	addresses []netip.AddrPort
	members   []*member
}

// freeAddresses returns n unused loopback addresses.
func freeAddresses(tb testing.TB, n int) []netip.AddrPort {
	tb.Helper()
	var addresses []netip.AddrPort
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return addresses
}

// newFleet starts a ledger of n replicas that stop when the test ends.
func newFleet(tb testing.TB, n int) *fleet {
	tb.Helper()
	f := &fleet{addresses: freeAddresses(tb, n)}
	for i := range f.addresses {
		f.members = append(f.members, f.start(tb, i, tb.TempDir()))
	}
	return f
}

// settings returns the settings of replica i.
func (f *fleet) settings(i int, folder string) *kcwsetup.Settings {
	s := &kcwsetup.Settings{Founder: map[string]kcwsetup.Founder{}}
	s.Host = kcwsetup.Host{Name: fmt.Sprintf("ledger-%d", i), Zone: "zone", Address: f.addresses[i], Folder: folder}
	s.Group = kcwsetup.Group{
		Name: "ledger", Bootstrap: true, Heartbeat: 50 * time.Millisecond, Election: 500 * time.Millisecond,
		SnapshotEntries: 50_000, KeepEntries: 5_000,
	}
	s.Service = kcwsetup.Service{Beat: time.Second, SilentAfter: 10 * time.Second, StopTimeout: 10 * time.Second}
	for j, address := range f.addresses {
		s.Founder[fmt.Sprintf("ledger-%d", j)] = kcwsetup.Founder{Zone: "zone", Address: address}
	}
	return s
}

// start runs replica i with its state in folder.
func (f *fleet) start(tb testing.TB, i int, folder string) *member {
	tb.Helper()
	opened, err := kcwfolder.Open(kcwfolder.Config{Path: folder})
	if err != nil {
		tb.Fatal(err)
	}
	r, err := newReplica(f.settings(i, folder), testKeys, opened, direct)
	if err != nil {
		tb.Fatal(err)
	}
	server, err := r.publicServer()
	if err != nil {
		tb.Fatal(err)
	}
	m := &member{replica: r, server: server}
	go func() { _ = server.Start(context.Background()) }()
	tb.Cleanup(m.stop)
	return m
}

// stop shuts the replica down as a signal does. It may be called twice.
func (m *member) stop() {
	_ = m.leave()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = m.server.Stop(ctx)
	m.close()
	_ = m.folder.Close()
}

// leader returns the index of the leading replica.
func (f *fleet) leader(tb testing.TB) int {
	tb.Helper()
	for range 1000 {
		for i, m := range f.members {
			status := m.group.Status()
			if status.Leader == status.Id && status.Role == "leader" && m.group.Fresh() {
				return i
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	tb.Fatal("no replica leads")
	return 0
}

// client returns a client of the ledger that authenticates with key.
func (f *fleet) client(tb testing.TB, key string) *kcwledger.Client {
	tb.Helper()
	c, err := kcwledger.New(kcwledger.Config{Addresses: f.addresses, Key: key, CallTimeout: time.Second})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(c.Close)
	return c
}

// submit executes cmd and fails the test on an error.
func submit(tb testing.TB, c *kcwledger.Client, cmd *kcwpb.Command) *kcwpb.Result {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	result, err := c.Submit(ctx, cmd)
	if err != nil {
		tb.Fatal(err)
	}
	return result
}

// change executes an operator's cmd and fails the test on an error.
func change(tb testing.TB, c *kcwledger.Client, cmd *kcwpb.Command) *kcwpb.Result {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	result, err := c.Change(ctx, cmd)
	if err != nil {
		tb.Fatal(err)
	}
	return result
}

// putContract creates a contract with prepaid tokens.
func putContract(tb testing.TB, c *kcwledger.Client, customer string, prepaid int64) {
	tb.Helper()
	contract := &kcwcontract.Contract{
		Customer:      customer,
		PrepaidTokens: prepaid,
		Weight:        1,
		Limits:        kcwcontract.Limits{MaxPromptTokens: 1000, MaxCompletionTokens: 1000, DefaultCompletionTokens: 100, QueueDeadline: time.Second},
		Keys:          []kcwcontract.Key{{Name: "main", Hash: fmt.Sprintf("%064x", len(customer))}},
		Models:        []kcwcontract.Model{{Name: "model", Upstream: "kcw-model"}},
	}
	if err := contract.Validate(); err != nil {
		tb.Fatal(err)
	}
	put := &kcwpb.PutContract{Change: "create-" + customer, Contract: contract.Message()}
	result := change(tb, c, &kcwpb.Command{Op: &kcwpb.Command_PutContract{PutContract: put}})
	if result.Code != kcwpb.Code_CODE_OK && result.Code != kcwpb.Code_CODE_REPEATED {
		tb.Fatalf("contract refused: %v", result)
	}
}

// register registers a router incarnation, which must be new, and requires that it is then
// registered. If the answer was lost, the client has sent the command again, and the result
// says so.
func register(tb testing.TB, f *fleet, c *kcwledger.Client, router string, incarnation uint64) {
	tb.Helper()
	if slices.Contains(f.registered(router), incarnation) {
		tb.Fatalf("incarnation %d of %s is registered already", incarnation, router)
	}
	cmd := &kcwpb.RegisterRouter{Router: router, Zone: "zone", Incarnation: incarnation, Address: "127.0.0.1:1"}
	result := submit(tb, c, &kcwpb.Command{Op: &kcwpb.Command_RegisterRouter{RegisterRouter: cmd}})
	if result.Code != kcwpb.Code_CODE_OK && result.Code != kcwpb.Code_CODE_REPEATED {
		tb.Fatalf("registration refused: %v", result)
	}
	if registered := f.registered(router); !slices.Contains(registered, incarnation) {
		tb.Fatalf("incarnation %d of %s is not registered, but %v", incarnation, router, registered)
	}
}

// registered returns the incarnations of a router that replicas hold as registered.
func (f *fleet) registered(router string) []uint64 {
	var incarnations []uint64
	for _, m := range f.members {
		for _, r := range m.book.Routers() {
			if r.Name == router {
				incarnations = append(incarnations, r.Incarnation)
			}
		}
	}
	return incarnations
}

// openCommand returns the command with which router r1 opens a claim for a
// request of customer pew.
func openCommand(request string, attempt uint64, tokens int64) *kcwpb.Command {
	return &kcwpb.Command{Op: &kcwpb.Command_OpenClaim{OpenClaim: &kcwpb.OpenClaim{
		Customer: "pew", Request: request, Tokens: tokens, Router: "r1", Incarnation: 1,
		Repeatable: true, LeaseNanos: int64(time.Minute), Attempt: attempt,
	}}}
}

// settleCommand returns the command that bills the request of customer pew.
func settleCommand(request string, attempt uint64, tokens int64) *kcwpb.Command {
	return &kcwpb.Command{Op: &kcwpb.Command_SettleClaim{SettleClaim: &kcwpb.SettleClaim{
		Customer: "pew", Request: request, Router: "r1", Incarnation: 1,
		Outcome: kcwpb.Outcome_OUTCOME_RAN, Tokens: tokens, Repeatable: true, Attempt: attempt,
	}}}
}
