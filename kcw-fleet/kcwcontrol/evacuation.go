package kcwcontrol

import (
	"context"
	"net/http"
	"strings"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwpb"
)

// EvacuationsPath is the path at which operators list the evacuated zones (GET). At the path
// below it that ends with the name of a zone, they evacuate the zone (POST) and end its
// evacuation (DELETE).
const EvacuationsPath = "/evacuations"

// isEvacuationsCall reports whether a request is a call about evacuations.
func isEvacuationsCall(r *http.Request) bool {
	return r.URL.Path == EvacuationsPath || strings.HasPrefix(r.URL.Path, EvacuationsPath+"/")
}

// serveEvacuations handles an operator's call at EvacuationsPath or below it. Like documents,
// zones are checked before the call is redirected, so that every member refuses the same ones.
func (o *operator) serveEvacuations(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	zone, hasZone := strings.CutPrefix(r.URL.Path, EvacuationsPath+"/")
	switch {
	case !hasZone && r.Method != http.MethodGet:
		w.Header().Set("Allow", "GET")
		http.Error(w, "only GET is known without a zone", http.StatusMethodNotAllowed)
	case hasZone && r.Method != http.MethodPost && r.Method != http.MethodDelete:
		w.Header().Set("Allow", "POST, DELETE")
		http.Error(w, "only POST and DELETE are known with a zone", http.StatusMethodNotAllowed)
	case hasZone && !kcwallowance.IsZone(zone):
		http.Error(w, "the zone must be named by 1 to 64 printable ASCII characters without a slash", http.StatusBadRequest)
	case o.redirectToLeader(w, r):
	case hasZone:
		o.setEvacuation(ctx, w, zone, r.Method == http.MethodPost)
	default:
		o.listEvacuations(ctx, w)
	}
}

// setEvacuation commits that a zone is evacuated or no longer is. It commits a command also if
// that changes nothing, since only then a quorum has confirmed the state.
func (o *operator) setEvacuation(ctx context.Context, w http.ResponseWriter, zone string, evacuated bool) {
	set := &kcwpb.SetEvacuation{Zone: zone, Evacuated: evacuated}
	result, err := o.propose(ctx, &kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_SetEvacuation{SetEvacuation: set}})
	if err != nil {
		klog.InfoS("Evacuation not committed", "Zone", zone, "Evacuated", evacuated, "Cause", err.Error())
		unavailable(w, "the change may or may not be taken: "+err.Error())
		return
	}
	evacuations := o.table.Evacuations()
	klog.InfoS("Evacuation acknowledged", "Zone", zone, "Evacuated", evacuated, "Code", result.GetCode().String(),
		"Version", evacuations.GetVersion(), "Zones", evacuations.GetZones())
	switch result.GetCode() {
	case kcwpb.Code_CODE_OK, kcwpb.Code_CODE_REPEATED:
		w.WriteHeader(http.StatusOK)
	case kcwpb.Code_CODE_LIMITED:
		http.Error(w, result.GetDetail(), http.StatusConflict)
	default:
		http.Error(w, result.GetDetail(), http.StatusInternalServerError)
	}
}

// evacuationsView is the state of the evacuations as operators read it.
type evacuationsView struct {
	// Version rises with each change, from zero.
	Version uint64
	Zones   []string
}

func newEvacuationsView(e *kcwpb.Evacuations) evacuationsView {
	return evacuationsView{Version: e.GetVersion(), Zones: append([]string{}, e.GetZones()...)}
}

// listEvacuations answers with the evacuated zones, once a quorum has confirmed that this
// member leads.
func (o *operator) listEvacuations(ctx context.Context, w http.ResponseWriter) {
	if err := o.group.Confirm(ctx); err != nil {
		unavailable(w, "the newest evacuations are not known: "+err.Error())
		return
	}
	writeJSON(w, newEvacuationsView(o.table.Evacuations()))
}

// addEvacuations adds the evacuations to the answer to a report unless the router has them. The
// report was committed, so that all changes acknowledged before it arrived are applied.
func (s *service) addEvacuations(req *kcwpb.FleetSyncRequest, response *kcwpb.FleetSyncResponse) {
	if evacuations := s.table.Evacuations(); evacuations.GetVersion() != req.GetEvacuationsVersion() {
		response.Evacuations = evacuations
	}
}

// evacuationsBehind returns the number of routers that lack the newest evacuations, as this
// member, if it leads, knows from their reports.
func (s *service) evacuationsBehind() int64 {
	version := s.table.Evacuations().GetVersion()
	isLeader := s.leads()
	s.mu.Lock()
	defer s.mu.Unlock()
	behind := int64(0)
	for _, c := range s.routers {
		// A router without a document serves no requests.
		if isLeader && c.version > 0 && c.evacuations != version {
			behind++
		}
	}
	return behind
}
