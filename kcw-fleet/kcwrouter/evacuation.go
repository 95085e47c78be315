package kcwrouter

import (
	"net/netip"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
)

// applyEvacuations puts the evacuations in force that host sent, nil if the router has the
// newest. The core's answer to a report is newer than all answers before it, whatever its
// version is.
func (p *reporter) applyEvacuations(evacuations *kcwpb.Evacuations, host netip.AddrPort) {
	if evacuations == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.SetEvacuated(evacuations.GetZones())
	klog.InfoS("Evacuations in force", "Version", evacuations.GetVersion(), "Before", p.evacuationsVersion, "Zones", evacuations.GetZones(), "From", host)
	p.evacuationsVersion = evacuations.GetVersion()
}

// currentEvacuations returns the version of the evacuations in force, zero if there is none.
func (p *reporter) currentEvacuations() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evacuationsVersion
}
