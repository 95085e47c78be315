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
	// announceInterval is the pause between two announcements of a host that knows the
	// leader, and searchInterval that of one that does not.
	announceInterval = time.Second
	searchInterval   = 250 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = 500 * time.Millisecond
	// hostsFile keeps the hosts that serve the core, for the next start.
	hostsFile = "Hosts"
	// restartAge is the age that the memory of an earlier process has, so that any
	// news replaces it.
	restartAge = time.Hour
	// maxHostsTold bounds the hosts named in a refusal.
	maxHostsTold = 16
)

// announced takes an announcement and returns the answer.
func announced(client *kcwcore.Client, req *kcwpb.FleetAnnounceRequest) (*connect.Response[kcwpb.FleetAnnounceResponse], error) {
	from := netip.AddrPort{}
	if addresses := kcwcore.ParseAddresses([]string{req.GetAddress()}); req.GetAddress() != "" && len(addresses) == 1 {
		from = addresses[0]
	}
	client.MergeFrom(from, kcwcore.Decode(req.GetView()))
	return connect.NewResponse(&kcwpb.FleetAnnounceResponse{View: kcwcore.Encode(client.View())}), nil
}

// refuse returns the answer to a call that only the leader takes. It names leader,
// if that is valid, and hosts of view to ask.
func refuse(err error, leader netip.AddrPort, view kcwdirectory.View) error {
	e := connect.NewError(connect.CodeUnavailable, err)
	if leader.IsValid() {
		e.Meta().Set(kcwledger.LeaderHeader, leader.String())
	}
	slices.SortStableFunc(view.Hosts, func(a, b kcwdirectory.Host) int { return int(a.Age - b.Age) })
	var hosts []string
	for _, h := range view.Hosts[:min(len(view.Hosts), maxHostsTold)] {
		hosts = append(hosts, h.Address.String())
	}
	if len(hosts) > 0 {
		e.Meta().Set(kcwcore.HostsHeader, strings.Join(hosts, ","))
	}
	return e
}

// announcer tells other hosts what this one knows of the core.
type announcer struct {
	client *kcwcore.Client
	self   netip.AddrPort
	// folder keeps what is known over restarts; it is nil at a host without a disk.
	folder *kcwfolder.Folder
	// refresh notes what this host knows by itself and reports whether it leads.
	refresh func() bool
	kept    []string
}

// run announces until ctx ends.
func (a *announcer) run(ctx context.Context) {
	a.restore()
	for ctx.Err() == nil {
		leads := a.refresh()
		var calls sync.WaitGroup
		for _, address := range a.client.AnnounceTargets(leads) {
			calls.Go(func() { a.tell(ctx, address) })
		}
		calls.Wait()
		a.keep()
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

func (a *announcer) tell(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := a.client.Announce(ctx, address, a.self); err != nil {
		klog.V(kcwlog.DebugVerbosity).InfoS("Host not told of the core", "Address", address, "Cause", err.Error())
	}
}

// restore takes the hosts that an earlier process knew.
func (a *announcer) restore() {
	if a.folder == nil {
		return
	}
	err := a.folder.ReadJSON(hostsFile, &a.kept)
	var fault *kcwfolder.Error
	if err != nil && (!errors.As(err, &fault) || fault.Kind != kcwfolder.Missing) {
		klog.ErrorS(err, "Hosts of the core not restored")
	}
	view := kcwdirectory.View{}
	for _, address := range kcwcore.ParseAddresses(a.kept) {
		view.Hosts = append(view.Hosts, kcwdirectory.Host{Address: address, Age: restartAge})
	}
	a.client.Merge(view)
}

// keep writes the hosts known, if there are others than before.
func (a *announcer) keep() {
	if a.folder == nil {
		return
	}
	var hosts []string
	for _, h := range a.client.View().Hosts {
		hosts = append(hosts, h.Address.String())
	}
	if slices.Equal(hosts, a.kept) {
		return
	}
	if err := a.folder.WriteJSON(hostsFile, hosts); err != nil {
		klog.InfoS("Hosts of the core not kept", "Hosts", len(hosts), "Cause", err.Error())
		return
	}
	a.kept = hosts
}
