package main

import (
	"net/http"
	"time"

	"kingcupwick.example/kcw/kcwlisten"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwserve"
)

// Shares of the resources of the process that clients of its servers may use. Each of some hundred
// routers keeps a few connections. One over HTTP/2 takes up to 50 kB besides its requests.
var (
	publicShare = kcwserve.Share{Descriptors: 0.7, ConnsPerMB: 4, Memory: 0.1}
	adminShare  = kcwserve.Share{Descriptors: 0.04, ConnsPerMB: 0.5, Memory: 0.02}
)

// Names of the servers.
const (
	publicServer = "Public"
	adminServer  = "Admin"
)

const (
	// headerTimeout bounds reading the header of a request, and the time without a byte of a body.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than routers, replicas and operators keep idle connections.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request. Those of processes have a few hundred bytes.
	maxHeaderBytes = 8 << 10
	// writeTimeout bounds one write to a client.
	writeTimeout = 30 * time.Second
	// messageMemory is the fraction of the memory that messages of processes may hold.
	messageMemory = 0.25
	// messageCopies is how often a message is held at most: in parts as it is received, whole,
	// and decoded.
	messageCopies = 3
	// maxMessageBytes bounds one message, as the services do.
	maxMessageBytes = 16 << 20
)

// newBounds creates the bounds of the clients of each server.
func (r *replica) newBounds() error {
	host := r.settings.Process()
	public := host.Bound(publicShare, headerTimeout)
	public.WriteTimeout = writeTimeout
	admin := host.Bound(adminShare, headerTimeout)
	admin.ChargeBodies, admin.WriteTimeout = true, writeTimeout
	r.messages = kcwmemory.New(host.Bytes(messageMemory))
	var err error
	r.bounds, err = kcwserve.NewBounds(map[string]kcwlisten.Config{publicServer: public, adminServer: admin})
	return err
}

// receive returns next with the bound of messages. It is for requests that have been authenticated.
func (r *replica) receive(next http.Handler) http.Handler {
	limit := min(maxMessageBytes, r.settings.Process().Bytes(messageMemory)/messageCopies)
	return kcwserve.Receive(next, r.messages, limit)
}

// registerBounds registers the metrics of the connections and of the memory of messages.
func (r *replica) registerBounds() {
	r.meter.Gauge("kcw_ledger_connections", "Open connections of clients, by server.", r.bounds.Observe(kcwserve.Open))
	r.meter.Gauge("kcw_ledger_connection_bytes", "Memory of requests that are being received or held, by server.", r.bounds.Observe(kcwserve.Held))
	r.meter.Gauge("kcw_ledger_connections_refused", "Connections refused since the start because there were too many, by server.", r.bounds.Observe(kcwserve.Refused))
	r.meter.Gauge("kcw_ledger_connections_closed", "Connections closed since the start in favor of others or for what they held, by server.", r.bounds.Observe(kcwserve.Closed))
	r.meter.Gauge("kcw_ledger_memory_held", "Memory that messages of processes hold.", kcwserve.ObserveHeld(r.messages))
}
