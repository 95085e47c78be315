package kcwallowance

import (
	"slices"
	"strings"

	"kingcupwick.example/kcw/kcwpb"
)

const (
	// MaxEvacuatedZones bounds the zones that are evacuated at the same time. The state passes
	// to each router whenever it changes.
	MaxEvacuatedZones = 64
	// maxZoneBytes bounds the name of a zone.
	maxZoneBytes = 64
)

// IsZone reports whether name can name an availability zone in a SetEvacuation: 1 to 64
// printable ASCII bytes without a slash.
func IsZone(name string) bool {
	return name != "" && len(name) <= maxZoneBytes && strings.IndexFunc(name, func(r rune) bool { return r < ' ' || r > '~' || r == '/' }) < 0
}

// setEvacuation evacuates a zone or ends its evacuation. A command that changes nothing
// returns CODE_REPEATED, and one beyond MaxEvacuatedZones CODE_LIMITED.
func (t *Table) setEvacuation(set *kcwpb.SetEvacuation) *kcwpb.FleetResult {
	result := &kcwpb.FleetResult{Code: kcwpb.Code_CODE_OK, Version: t.document.GetVersion()}
	zones := t.evacuations.GetZones()
	at, isEvacuated := slices.BinarySearch(zones, set.GetZone())
	switch {
	case !IsZone(set.GetZone()):
		result.Code, result.Detail = kcwpb.Code_CODE_INVALID, "the name of the zone is not valid"
	case isEvacuated == set.GetEvacuated():
		result.Code = kcwpb.Code_CODE_REPEATED
	case isEvacuated:
		t.evacuations = &kcwpb.Evacuations{Version: t.evacuations.GetVersion() + 1, Zones: slices.Delete(slices.Clone(zones), at, at+1)}
	case len(zones) >= MaxEvacuatedZones:
		result.Code, result.Detail = kcwpb.Code_CODE_LIMITED, "too many zones are evacuated"
	default:
		t.evacuations = &kcwpb.Evacuations{Version: t.evacuations.GetVersion() + 1, Zones: slices.Insert(slices.Clone(zones), at, set.GetZone())}
	}
	return result
}

// Evacuations returns the evacuated zones in ascending order, and a version that rises with
// each change. The version is zero if there was none.
func (t *Table) Evacuations() *kcwpb.Evacuations {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.evacuations
}
