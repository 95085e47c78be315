package kcwgroup

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
	"kingcupwick.example/kcw/kcwpeer"
)

// lateHandler serves a group that is created after its listener.
type lateHandler struct {
	group atomic.Pointer[Group]
}

func (s *lateHandler) Exchange(ctx context.Context, req *connect.Request[kcwpb.ExchangeRequest]) (*connect.Response[kcwpb.ExchangeResponse], error) {
	if group := s.group.Load(); group != nil {
		return group.Exchange(ctx, req)
	}
	return nil, connect.NewError(connect.CodeUnavailable, nil)
}

// overConnect makes the cluster's hosts communicate over loopback connections. It
// returns their senders by name, which count the bytes sent.
func overConnect(c *cluster) map[string]*kcwpeer.Sender {
	senders := map[string]*kcwpeer.Sender{}
	handlers := map[string]*lateHandler{}
	for name, h := range c.hosts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.t.Fatal(err)
		}
		h.address = listener.Addr().String()
		handlers[name] = &lateHandler{}
		mux := http.NewServeMux()
		mux.Handle(kcwpbconnect.NewPeerHandler(handlers[name]))
		server := &http.Server{Handler: mux}
		go func() { _ = server.Serve(listener) }()
		c.t.Cleanup(func() { _ = server.Close() })
	}
	c.connect = func(h *host) func(*kcwpb.Member, []*kcwpb.Message) {
		sender, err := kcwpeer.New(kcwpeer.Config{Group: "test", Key: "k"})
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(func() { _ = sender.Close() })
		senders[h.name] = sender
		return sender.Send
	}
	c.started = func(h *host) { handlers[h.name].group.Store(h.group) }
	return senders
}

func TestGroupOverConnect(t *testing.T) {
	c := newCluster(t, 3, nil)
	overConnect(c)
	c.startAll()
	commands := c.proposeMany("c", 20)
	for _, h := range c.running() {
		c.eventually("all commands at "+h.name, func() bool {
			return c.hasExactly(h, commands)
		})
	}
}
