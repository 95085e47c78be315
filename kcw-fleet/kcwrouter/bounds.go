package kcwrouter

import (
	"time"

	"kingcupwick.example/kcw/kcwlisten"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwmeter"
	"kingcupwick.example/kcw/kcwserve"
)

// Shares of the resources of the process that clients of its servers may use. On the smallest
// host, with 144 MB and 3,075 descriptors, callers get 1,581 connections: about 1,500 are kept by
// ordinary callers of a router at the most. Each takes some 15 kB. The connections to upstreams
// need most of the other descriptors. Up to 100 other routers each keep a few connections.
var (
	callerShare = kcwserve.Share{Descriptors: 0.55, ConnsPerMB: 11, Memory: 0.1}
	routerShare = kcwserve.Share{Descriptors: 0.1, ConnsPerMB: 2, Memory: 0.03}
	adminShare  = kcwserve.Share{Descriptors: 0.04, ConnsPerMB: 0.5, Memory: 0.02}
)

// adminWriteTimeout bounds one write to a client at the port for operators and at that for other
// routers. Their answers are small.
const adminWriteTimeout = 10 * time.Second

// Names of the servers.
const (
	callersServer = "Callers"
	routersServer = "Routers"
	adminServer   = "Admin"
)

const (
	// messageMemory is the fraction of the memory that messages of other routers may hold,
	// and maxMessageBytes the size of one. Most have some kB; the evidence on parts
	// that crash upstreams can take a MB.
	messageMemory   = 0.04
	maxMessageBytes = 4 << 20
)

// bounds are the bounds of the clients of each server.
type bounds struct {
	kcwserve.Bounds
	// messages is the memory that messages of other routers hold.
	messages *kcwmemory.Account
}

// newBounds creates the bounds.
func (r *Router) newBounds() error {
	s := r.cfg.Settings
	host := kcwserve.Host{MemoryMB: s.Host.MemoryMB, MaxDescriptors: s.Host.MaxDescriptors}
	callers := host.Bound(callerShare, s.Limits.HeaderTimeout)
	callers.Limits = r.documentLimits
	routers := host.Bound(routerShare, s.Limits.HeaderTimeout)
	routers.WriteTimeout = adminWriteTimeout
	admin := host.Bound(adminShare, s.Limits.HeaderTimeout)
	admin.WriteTimeout = adminWriteTimeout
	r.bounds.messages = kcwmemory.New(host.Bytes(messageMemory))
	var err error
	r.bounds.Bounds, err = kcwserve.NewBounds(map[string]kcwlisten.Config{callersServer: callers, routersServer: routers, adminServer: admin})
	return err
}

// documentLimits returns the limits of the configuration in force.
func (r *Router) documentLimits() kcwlisten.Limits {
	document := r.reporter.document.Load()
	if document == nil {
		return kcwlisten.Limits{}
	}
	l := document.Limits
	return kcwlisten.Limits{HeadBytes: l.MaxHeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// register registers the metrics of the connections.
func (b *bounds) register(meter *kcwmeter.Meter) {
	meter.Gauge("kcw_router_connections", "Open connections of clients, by server.", b.Observe(kcwserve.Open))
	meter.Gauge("kcw_router_connection_bytes", "Memory of requests that are being received or held, by server.", b.Observe(kcwserve.Held))
	meter.Gauge("kcw_router_connections_refused", "Connections refused since the start because there were too many, by server.", b.Observe(kcwserve.Refused))
	meter.Gauge("kcw_router_connections_closed", "Connections closed since the start in favor of others or for what they held, by server.", b.Observe(kcwserve.Closed))
}
