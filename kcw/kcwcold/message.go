package kcwcold

import (
	"net/netip"
	"time"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwroute"
)

// Services returns what a document states of cold upstreams.
func Services(document *kcwroute.Document) map[string]Service {
	services := make(map[string]Service, len(document.Services))
	for _, s := range document.Services {
		services[s.Name] = Service{ColdFor: s.ColdFor, PerSecond: s.ColdPerSecond}
	}
	return services
}

// DecodeList returns the upstreams of a list.
func DecodeList(records []*kcwpb.UpstreamRecord) []Upstream {
	upstreams := make([]Upstream, 0, len(records))
	for _, r := range records {
		u := Upstream{ID: r.GetId(), Service: r.GetService(), Zone: r.GetZone(), Leaving: r.GetLeaving(), Left: time.Duration(r.GetColdLeftNanos())}
		if r.GetBorn() != 0 {
			u.Born = time.UnixMilli(r.GetBorn())
		}
		// An upstream whose address can't be parsed gets no requests.
		u.Address, _ = netip.ParseAddrPort(r.GetAddress())
		upstreams = append(upstreams, u)
	}
	return upstreams
}
