package kcwcontrol

import (
	"net/http"
	"time"

	"kingcupwick.example/kcw/kcwlisten"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwserve"
)

// Shares of the resources of the process that clients of its servers may use. Each of up to 100
// routers keeps a few connections to a member, and 1,000 may do so while leaders change. The
// largest message is a batch of log entries, the largest request of an operator a document.
var (
	operatorShare = kcwserve.Share{Descriptors: 0.1, ConnsPerMB: 2, Memory: 0.15}
	peerShare     = kcwserve.Share{Descriptors: 0.5, ConnsPerMB: 8, Memory: 0.1}
	adminShare    = kcwserve.Share{Descriptors: 0.04, ConnsPerMB: 0.5, Memory: 0.02}
)

// writeTimeout bounds one write to a client. The largest is a document, which is sent at a
// fraction of the link's rate.
const writeTimeout = 30 * time.Second

// messageMemory is the fraction of the memory that the messages of routers and members may hold.
// The largest is a batch of log entries of some 4 MB.
const messageMemory = 0.15

// Names of the servers.
const (
	operatorsServer = "Operators"
	peersServer     = "Peers"
	adminServer     = "Admin"
)

// bounds are the bounds of the clients of each server.
type bounds struct {
	kcwserve.Bounds
	// messages is the memory that messages of routers and members hold.
	messages *kcwmemory.Account
}

// newBounds creates the bounds.
func (m *Member) newBounds() error {
	s := m.cfg.Settings
	host := kcwserve.Host{MemoryMB: s.Host.MemoryMB, MaxDescriptors: s.Host.MaxDescriptors}
	servers := map[string]kcwlisten.Config{}
	for name, share := range map[string]kcwserve.Share{operatorsServer: operatorShare, peersServer: peerShare, adminServer: adminShare} {
		cfg := host.Bound(share, headerTimeout)
		cfg.ChargeBodies, cfg.WriteTimeout = name != peersServer, writeTimeout
		servers[name] = cfg
	}
	m.bounds.messages = kcwmemory.New(host.Bytes(messageMemory))
	var err error
	m.bounds.Bounds, err = kcwserve.NewBounds(servers)
	return err
}

// receive returns the handler for routers and members with the bound of their messages.
func (b *bounds) receive(peers http.Handler) http.Handler {
	return kcwserve.Receive(peers, b.messages, maxMessageBytes)
}

// registerConnections registers the metrics of the connections.
func (m *Member) registerConnections() {
	m.meter.Gauge("kcw_control_connections", "Open connections of clients, by server.", m.bounds.Observe(kcwserve.Open))
	m.meter.Gauge("kcw_control_connection_bytes", "Memory of requests that are being received or held, by server.", m.bounds.Observe(kcwserve.Held))
	m.meter.Gauge("kcw_control_connections_refused", "Connections refused since the start because there were too many, by server.", m.bounds.Observe(kcwserve.Refused))
	m.meter.Gauge("kcw_control_connections_closed", "Connections closed since the start in favor of others or for what they held, by server.", m.bounds.Observe(kcwserve.Closed))
}
