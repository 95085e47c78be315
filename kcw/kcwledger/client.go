// Package kcwledger is the ledger client of routers and operator tools. The
// client finds the leader, sends commands in batches, and resends a command
// until it is answered. Resending is safe because every command carries an
// identity that makes it idempotent.
package kcwledger

import (
	"context"
	"crypto/rand"
	"math/big"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// LeaderHeader is the header in which a follower returns the address of the
// leader.
const LeaderHeader = "Kcw-Leader"

// Config configures a Client.
type Config struct {
	// Addresses are the addresses of ledger replicas. At least one is needed.
	Addresses []netip.AddrPort
	// Key is the bearer key that the replicas require.
	Key string
	// CallTimeout bounds one call to one replica; 500 ms if zero.
	CallTimeout time.Duration
	// SilenceTimeout bounds the time between two events of a watch; 3 s if zero.
	SilenceTimeout time.Duration
	// Senders is how many batches may be in flight at once; 4 if zero.
	Senders int
	// BatchLimit is the most commands in one batch; 256 if zero.
	BatchLimit int
}

// Client is a client of the ledger. Its methods are safe for concurrent use.
type Client struct {
	cfg    Config
	links  *links
	queue  chan *call
	closed chan struct{}
	once   sync.Once
	done   sync.WaitGroup
}

// call is a command that waits for its result. Sent is whether a replica may
// have received it; the sender writes the flag before it closes done.
type call struct {
	ctx    context.Context
	cmd    *kcwpb.Command
	result *kcwpb.Result
	sent   bool
	err    error
	done   chan struct{}
}

// New returns a Client and starts its senders. It returns an Error of
// kind Invalid if cfg has no address or no key.
func New(cfg Config) (*Client, error) {
	if len(cfg.Addresses) == 0 {
		return nil, &Error{Op: "new", Kind: Invalid, Err: errNoAddress}
	}
	if cfg.Key == "" {
		return nil, &Error{Op: "new", Kind: Invalid, Err: errNoKey}
	}
	cfg = withDefaults(cfg)
	c := &Client{
		cfg:    cfg,
		links:  newLinks(cfg.Addresses, cfg.Key, cfg.CallTimeout),
		queue:  make(chan *call, cfg.Senders*cfg.BatchLimit),
		closed: make(chan struct{}),
	}
	c.done.Add(cfg.Senders)
	for range cfg.Senders {
		go c.send()
	}
	return c, nil
}

func withDefaults(cfg Config) Config {
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = 500 * time.Millisecond
	}
	if cfg.SilenceTimeout <= 0 {
		cfg.SilenceTimeout = 3 * time.Second
	}
	if cfg.Senders <= 0 {
		cfg.Senders = 4
	}
	if cfg.BatchLimit <= 0 {
		cfg.BatchLimit = 256
	}
	return cfg
}

// Close stops the senders and closes every connection. Commands not yet
// answered end with kind NotSent or OutcomeUnknown.
func (c *Client) Close() {
	c.once.Do(func() { close(c.closed) })
	c.done.Wait()
	c.links.close()
}

// Submit submits cmd and returns its result. It resends cmd until ctx ends. The
// error is of kind NotSent when no replica can have received cmd, of kind
// OutcomeUnknown when cmd may still be applied, of kind Refused when the ledger
// refused it, and of kind Closed when the client was closed before cmd was queued.
// The caller may modify cmd once Submit has returned.
func (c *Client) Submit(ctx context.Context, cmd *kcwpb.Command) (*kcwpb.Result, error) {
	// The call has a copy of cmd, because a sender may use it after Submit has
	// returned.
	w := &call{ctx: ctx, cmd: proto.Clone(cmd).(*kcwpb.Command), done: make(chan struct{})}
	select {
	case c.queue <- w:
	case <-ctx.Done():
		return nil, &Error{Op: "submit", Kind: NotSent, Err: ctx.Err()}
	case <-c.closed:
		return nil, &Error{Op: "submit", Kind: Closed}
	}
	select {
	case <-w.done:
		return w.result, w.err
	case <-ctx.Done():
		// w.sent must not be read here: the sender may still write it.
		return nil, &Error{Op: "submit", Kind: OutcomeUnknown, Err: ctx.Err()}
	case <-c.closed:
		return nil, &Error{Op: "submit", Kind: OutcomeUnknown, Err: errClosed}
	}
}

// send sends batches to the leader until the client is closed.
func (c *Client) send() {
	defer c.done.Done()
	for {
		select {
		case <-c.closed:
			return
		case first := <-c.queue:
			c.deliver(c.collectBatch(first))
		}
	}
}

// collectBatch returns first and the calls queued after it, up to the batch limit.
func (c *Client) collectBatch(first *call) []*call {
	batch := []*call{first}
	for len(batch) < c.cfg.BatchLimit {
		select {
		case w := <-c.queue:
			batch = append(batch, w)
		default:
			return batch
		}
	}
	return batch
}

// deliver sends batch until each call is answered or its context has ended.
func (c *Client) deliver(batch []*call) {
	for {
		batch = dropEnded(batch)
		if len(batch) == 0 {
			return
		}
		if c.isClosed() {
			failAll(batch, errClosed)
			return
		}
		if c.attempt(batch) {
			return
		}
		c.backOff()
	}
}

// attempt sends batch once. It reports whether all its calls have ended.
func (c *Client) attempt(batch []*call) bool {
	link := c.links.leader()
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.CallTimeout)
	defer cancel()
	response, err := link.ledger.Submit(ctx, connect.NewRequest(&kcwpb.SubmitRequest{Commands: commands(batch)}))
	if err == nil && len(response.Msg.Results) == len(batch) {
		complete(batch, response.Msg.Results)
		return true
	}
	if isRefusal(err) {
		refuseAll(batch, err)
		return true
	}
	if !isNotLeader(err) {
		markSent(batch)
	}
	c.links.recordFailure(link, err)
	return false
}

// backOff waits a short random time, so that many clients do not resend at once.
func (c *Client) backOff() {
	const maxBackoff = 40 * time.Millisecond
	n, err := rand.Int(rand.Reader, big.NewInt(int64(maxBackoff)))
	if err != nil {
		n = big.NewInt(int64(maxBackoff))
	}
	timer := time.NewTimer(time.Duration(n.Int64()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
}

func (c *Client) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}
