package kcwcontrol

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw-fleet/kcwdirectory"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
	"kingcupwick.example/kcw/kcwpeer"
)

// candidate is a host with a disk that receives the messages of a founding.
type candidate struct {
	kcwpbconnect.UnimplementedPeerHandler
	received chan *kcwpb.Message
}

func (c *candidate) Exchange(_ context.Context, req *connect.Request[kcwpb.ExchangeRequest]) (*connect.Response[kcwpb.ExchangeResponse], error) {
	for _, m := range req.Msg.GetMessages() {
		c.received <- m
	}
	return connect.NewResponse(&kcwpb.ExchangeResponse{}), nil
}

// TestDisklessHostDelegates checks when a host without a disk lets another one found the core in its
// place: only as a seed of the first start, after a wait, and not beside a core.
func TestDisklessHostDelegates(t *testing.T) {
	own, other := netip.MustParseAddrPort("10.0.0.9:7000"), netip.MustParseAddrPort("10.0.0.7:7000")
	core := kcwdirectory.View{Hosts: []kcwdirectory.Host{{Address: netip.MustParseAddrPort("10.0.0.1:7000"), Member: true}}}
	for _, test := range []struct {
		name        string
		seed        netip.AddrPort
		isBootstrap bool
		age         time.Duration
		view        kcwdirectory.View
		// answers is set if the host takes part in the founding, delegates if it names the candidate.
		answers, delegates bool
	}{
		{"seed", own, true, 2 * substituteWait, kcwdirectory.View{}, true, true},
		{"seed that has just started", own, true, 0, kcwdirectory.View{}, true, false},
		{"seed beside a core", own, true, 2 * substituteWait, core, true, false},
		{"no seed", other, true, 2 * substituteWait, kcwdirectory.View{}, false, false},
		{"not the first start", own, false, 2 * substituteWait, kcwdirectory.View{}, false, false},
	} {
		c := &candidate{received: make(chan *kcwpb.Message, 1)}
		_, handler := kcwpbconnect.NewPeerHandler(c)
		server := httptest.NewServer(handler)
		settings := &kcwsetup.Control{
			Host:  kcwsetup.ControlHost{PeerAddress: own, Zone: "z"},
			Group: kcwsetup.Group{Bootstrap: test.isBootstrap, Seeds: []netip.AddrPort{test.seed}},
		}
		sender, err := kcwpeer.New(kcwpeer.Config{Group: groupName})
		if err != nil {
			t.Fatal(err)
		}
		r := newDisklessHost(settings, kcwcore.New(kcwcore.Config{}), sender, time.Now().Add(-test.age))
		r.client.Merge(test.view)
		const id = 7
		address := strings.TrimPrefix(server.URL, "http://")
		message := &kcwpb.Message{Kind: kcwpb.MessageKind_MESSAGE_KIND_FOUND, From: id, Round: 1, Membership: &kcwpb.Membership{
			Members: []*kcwpb.Member{{Id: id, Name: address, Zone: "z", Address: address}},
		}}
		if _, err := r.Exchange(t.Context(), connect.NewRequest(&kcwpb.ExchangeRequest{Group: groupName, Messages: []*kcwpb.Message{message}})); err != nil {
			t.Errorf("%s: %v", test.name, err)
		}
		if (r.delegator != nil) != test.answers {
			t.Errorf("%s: takes part %v, want %v", test.name, r.delegator != nil, test.answers)
		}
		if test.answers {
			members := (<-c.received).GetMembership().GetMembers()
			if got := len(members) > 1 && members[1].GetId() == id; got != test.delegates {
				t.Errorf("%s: names %v, want the candidate %v", test.name, members, test.delegates)
			}
		}
		if _, err := r.Exchange(t.Context(), connect.NewRequest(&kcwpb.ExchangeRequest{Group: "another"})); connect.CodeOf(err) != connect.CodeFailedPrecondition {
			t.Errorf("%s: a message of another group gives %v", test.name, err)
		}
		_ = sender.Close()
		server.Close()
	}
}
