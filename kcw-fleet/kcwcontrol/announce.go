package kcwcontrol

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw-fleet/kcwdirectory"
	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwpb"
)

const (
	// announceInterval is the pause between two announcements of a host that has a
	// confirmed leader, and searchInterval that of one that has none.
	announceInterval = time.Second
	searchInterval   = 250 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = 500 * time.Millisecond
	// hostsFile stores the hosts that serve the core, for the next start.
	hostsFile = "Hosts"
	// staleAge is the age given to facts whose real age is not recorded, such as hosts
	// stored by an earlier process. Any fresh report replaces them.
	staleAge = time.Hour
	// maxHostHints bounds the number of hosts listed in a refusal.
	maxHostHints = 16
)

// exchangeViews merges the view in an announcement and answers with this host's view.
func exchangeViews(client *kcwcore.Client, req *kcwpb.FleetAnnounceRequest) (*connect.Response[kcwpb.FleetAnnounceResponse], error) {
	from := netip.AddrPort{}
	if addresses := kcwcore.ParseAddresses([]string{req.GetAddress()}); req.GetAddress() != "" && len(addresses) == 1 {
		from = addresses[0]
	}
	client.MergeFrom(from, kcwcore.Decode(req.GetView()))
	return connect.NewResponse(&kcwpb.FleetAnnounceResponse{View: kcwcore.Encode(client.View())}), nil
}

// newRefusal returns the answer to a call that only the leader handles. Its headers
// name leader, if that is valid, and the most recently confirmed hosts of view.
func newRefusal(err error, leader netip.AddrPort, view kcwdirectory.View) error {
	e := connect.NewError(connect.CodeUnavailable, err)
	if leader.IsValid() {
		e.Meta().Set(kcwledger.LeaderHeader, leader.String())
	}
	slices.SortStableFunc(view.Hosts, func(a, b kcwdirectory.Host) int { return int(a.Age - b.Age) })
	var hosts []string
	for _, h := range view.Hosts[:min(len(view.Hosts), maxHostHints)] {
		hosts = append(hosts, h.Address.String())
	}
	if len(hosts) > 0 {
		e.Meta().Set(kcwcore.HostsHeader, strings.Join(hosts, ","))
	}
	return e
}

// announcer sends this host's view of the core to other hosts.
type announcer struct {
	client *kcwcore.Client
	self   netip.AddrPort
	// folder stores the hosts of the view across restarts. It is nil at a host without a
	// disk.
	folder *kcwfolder.Folder
	// refresh updates the view from this host's replica and reports whether it leads.
	refresh func() bool
	// savedHosts are the addresses stored in hostsFile.
	savedHosts []string
}

// run announces until ctx ends.
func (a *announcer) run(ctx context.Context) {
	a.restoreHosts()
	for ctx.Err() == nil {
		leads := a.refresh()
		var calls sync.WaitGroup
		for _, address := range a.client.AnnounceTargets(leads) {
			calls.Go(func() { a.announceTo(ctx, address) })
		}
		calls.Wait()
		a.saveHosts()
		pause := announceInterval
		if !a.client.Leader().IsValid() {
			pause = searchInterval
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// announceTo exchanges views with the host at address.
func (a *announcer) announceTo(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := a.client.Announce(ctx, address, a.self); err != nil {
		klog.V(kcwlog.DebugVerbosity).InfoS("Announcement failed", "Address", address, "Cause", err.Error())
	}
}

// restoreHosts merges the hosts stored by an earlier process.
func (a *announcer) restoreHosts() {
	if a.folder == nil {
		return
	}
	err := a.folder.ReadJSON(hostsFile, &a.savedHosts)
	var fault *kcwfolder.Error
	if err != nil && (!errors.As(err, &fault) || fault.Kind != kcwfolder.Missing) {
		klog.ErrorS(err, "Failed to read the stored hosts of the core")
	}
	view := kcwdirectory.View{}
	for _, address := range kcwcore.ParseAddresses(a.savedHosts) {
		view.Hosts = append(view.Hosts, kcwdirectory.Host{Address: address, Age: staleAge})
	}
	a.client.Merge(view)
}

// saveHosts stores the hosts of the view if they differ from the stored ones.
func (a *announcer) saveHosts() {
	if a.folder == nil {
		return
	}
	var hosts []string
	for _, h := range a.client.View().Hosts {
		hosts = append(hosts, h.Address.String())
	}
	if slices.Equal(hosts, a.savedHosts) {
		return
	}
	if err := a.folder.WriteJSON(hostsFile, hosts); err != nil {
		klog.InfoS("Failed to store the hosts of the core", "Hosts", len(hosts), "Cause", err.Error())
		return
	}
	a.savedHosts = hosts
}
