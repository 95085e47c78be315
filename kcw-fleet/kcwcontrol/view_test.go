package kcwcontrol

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwgroup"
	"kingcupwick.example/kcw/kcwpb"
)

// TestClockSetBackLeavesViewOld guards against a member without contact whose view of the core
// counts as new because the time of day was set back.
func TestClockSetBackLeavesViewOld(t *testing.T) {
	const election = 50 * time.Millisecond
	addresses := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")}
	var founders []*kcwpb.Member
	for _, address := range addresses {
		founders = append(founders, &kcwpb.Member{Name: address.String(), Address: address.String()})
	}
	var isCut atomic.Bool
	var groups [2]atomic.Pointer[kcwgroup.Group]
	send := func(to *kcwpb.Member, msgs []*kcwpb.Message) {
		for i, address := range addresses {
			if g := groups[i].Load(); g != nil && to.GetAddress() == address.String() && !isCut.Load() {
				g.Step(msgs)
			}
		}
	}
	for i, address := range addresses {
		folder, err := kcwfolder.Open(kcwfolder.Config{Path: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		group, err := kcwgroup.New(kcwgroup.Config{
			Folder: folder, Group: groupName, Name: address.String(), Address: address, Bootstrap: true,
			Founders: founders, Machine: kcwallowance.New(), Send: send, Heartbeat: election / 5, Election: election,
			// The time of day is set back by an hour after the last contact.
			Now: func() time.Time { return time.Now().Add(time.Hour) },
		})
		if err != nil {
			t.Fatal(err)
		}
		groups[i].Store(group)
		t.Cleanup(func() {
			_ = group.Close()
			_ = folder.Close()
		})
	}
	await(t, func() bool { return groups[0].Load().Fresh() && groups[1].Load().Fresh() })
	isCut.Store(true)
	await(t, func() bool { return !groups[0].Load().Fresh() })
	client := kcwcore.New(kcwcore.Config{Self: addresses[0]})
	defer client.Close()
	s := &service{group: groups[0].Load(), client: client}
	s.refreshView()
	hosts := client.View().Hosts
	if len(hosts) != len(addresses) {
		t.Fatalf("the view has the hosts %v", hosts)
	}
	for _, h := range hosts {
		if h.Age < election {
			t.Errorf("%v is listed as confirmed %v ago, and the last contact was more than %v ago", h.Address, h.Age, election)
		}
	}
}

func await(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 10 s")
		}
	}
}
