package kcwroster

import (
	"maps"
	"slices"
)

// SetEvacuated sets the availability zones whose upstreams receive no new requests. Requests
// in flight there are not affected.
func (r *Roster) SetEvacuated(zones []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuatedZones = make(map[string]bool, len(zones))
	for _, zone := range zones {
		r.evacuatedZones[zone] = true
	}
	for _, u := range r.byID {
		u.evacuated = r.evacuatedZones[u.Zone]
	}
}

// IsEvacuated reports whether the service has upstreams that could receive requests, and all
// of them are in evacuated zones.
func (r *Roster) IsEvacuated(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := false
	for _, u := range r.services[service] {
		switch {
		case u.isWithdrawn():
		case !u.evacuated:
			return false
		default:
			found = true
		}
	}
	return found
}

// Evacuated returns the zones of SetEvacuated, sorted.
func (r *Roster) Evacuated() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.evacuatedZones))
}
