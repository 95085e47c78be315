package kcwpeer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

const (
	// batchBytes is the size from which a batch takes no further message.
	batchBytes = 2 << 20
	// entryOverheadBytes and messageOverheadBytes estimate the encoded size of an
	// entry and of a message without their data.
	entryOverheadBytes   = 24
	messageOverheadBytes = 48
)

// link is the message queue of one replica and the connection to it.
type link struct {
	sender  *Sender
	address string
	wake    chan struct{}
	stopped chan struct{}
	ctx     context.Context
	stop    context.CancelFunc

	transport *http.Transport
	client    kcwpbconnect.PeerClient

	mu    sync.Mutex
	queue []*kcwpb.Message
	// bytes is the estimated encoded size of queue.
	bytes int
}

func newLink(s *Sender, address string) *link {
	l := &link{
		sender: s, address: address,
		wake: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
	l.ctx, l.stop = context.WithCancel(context.Background())
	dialer := &net.Dialer{Timeout: s.cfg.Timeout}
	l.transport = &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     s.cfg.Idle,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: l.transport}
	l.client = kcwpbconnect.NewPeerClient(client, "http://"+address)
	return l
}

// push queues messages. If the queue is full, all messages in it are dropped first,
// since they would be outdated when they arrive.
func (l *link) push(msgs []*kcwpb.Message) {
	l.mu.Lock()
	if l.bytes > l.sender.cfg.QueueBytes {
		l.queue, l.bytes = nil, 0
	}
	for _, m := range msgs {
		l.queue = append(l.queue, m)
		l.bytes += messageSize(m)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func messageSize(m *kcwpb.Message) int {
	size := messageOverheadBytes + len(m.GetChunk().GetData())
	for _, e := range m.Entries {
		size += entryOverheadBytes + len(e.Data)
	}
	return size
}

func (l *link) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0
}

// pull removes the next batch from the queue.
func (l *link) pull() []*kcwpb.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size := 0, 0
	for n < len(l.queue) && size < batchBytes {
		size += messageSize(l.queue[n])
		n++
	}
	batch := l.queue[:n:n]
	l.queue = l.queue[n:]
	l.bytes -= size
	return batch
}

// run sends the queued messages until the link has been idle for Config.Idle or is
// stopped.
func (l *link) run() {
	defer close(l.stopped)
	defer l.transport.CloseIdleConnections()
	idle := time.NewTimer(l.sender.cfg.Idle)
	defer idle.Stop()
	for {
		select {
		case <-l.wake:
			idle.Reset(l.sender.cfg.Idle)
			l.sendQueued()
		case <-idle.C:
			if l.sender.remove(l) {
				return
			}
			idle.Reset(l.sender.cfg.Idle)
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *link) sendQueued() {
	for {
		batch := l.pull()
		if len(batch) == 0 || l.ctx.Err() != nil {
			return
		}
		l.send(batch)
	}
}

// send sends one batch. It does not retry, since the replicas' protocol repeats what
// is lost. A call that times out closes its connection, so that an unresponsive
// connection is not used again.
func (l *link) send(batch []*kcwpb.Message) {
	ctx, cancel := context.WithTimeout(l.ctx, l.sender.cfg.Timeout)
	defer cancel()
	msg := &kcwpb.ExchangeRequest{Group: l.sender.cfg.Group, Messages: batch}
	req := connect.NewRequest(msg)
	if l.sender.cfg.Key != "" {
		req.Header().Set("Authorization", "Bearer "+l.sender.cfg.Key)
	}
	if _, err := l.client.Exchange(ctx, req); err != nil {
		return
	}
	l.sender.sent.Add(int64(proto.Size(msg)))
}
