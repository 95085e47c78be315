package kcwgateway

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
	"kingcupwick.example/kcw/kcwserve"
)

const (
	// partBytes is the maximum size of one message of an answer sent to another
	// router.
	partBytes = 64 << 10
	// maxCallBytes is the maximum size of a call of another router, which names a request.
	maxCallBytes = 64 << 10
	// peerIdleTimeout is the time after which an unused connection to another router
	// is closed.
	peerIdleTimeout = 30 * time.Second
	// peerKeepAliveInterval is the time between two empty messages that a router
	// sends while the answer is not finished, and peerSilenceTimeout the time without
	// a message after which the receiving router gives up.
	peerKeepAliveInterval = 500 * time.Millisecond
	peerSilenceTimeout    = 2 * time.Second
)

// Answers returns the path and the handler of the Answers service, which is served on
// the internal address. It reads only requests with a key of Config.Peers.
func (g *Gateway) Answers() (string, http.Handler) {
	path, handler := kcwpbconnect.NewAnswersHandler(&answerService{g})
	admits := func(header http.Header) bool { return g.cfg.Peers != nil && g.cfg.Peers.Admits(header) }
	return path, kcwserve.Authenticate(kcwserve.Receive(handler, g.cfg.Memory, maxCallBytes), admits)
}

// answerService serves finished answers to other routers.
type answerService struct {
	gateway *Gateway
}

// Fetch waits until the answer to a request is finished and sends it.
func (s *answerService) Fetch(ctx context.Context, req *connect.Request[kcwpb.AnswerRequest], stream *connect.ServerStream[kcwpb.AnswerPart]) error {
	keepAlive := func() error { return stream.Send(&kcwpb.AnswerPart{}) }
	answer, err := s.gateway.finishedAnswer(ctx, req.Msg, keepAlive)
	if err != nil {
		return err
	}
	body := answer.GetBody()
	for {
		n := min(len(body), partBytes)
		part := &kcwpb.AnswerPart{Status: answer.GetStatus(), ContentType: answer.GetContentType(), Body: body[:n], Last: n == len(body)}
		if err := stream.Send(part); err != nil {
			return err
		}
		if part.Last {
			return nil
		}
		body = body[n:]
	}
}

// finishedAnswer returns the answer to a request that this router has executed. If
// the request is in flight, it waits for its end and calls keepAlive at intervals.
func (g *Gateway) finishedAnswer(ctx context.Context, req *kcwpb.AnswerRequest, keepAlive func() error) (*kcwpb.AnswerPart, error) {
	if f := g.flights.joinExisting(flightKey{req.GetCustomer(), req.GetRequest()}, req.GetDigest()); f != nil {
		defer g.flights.leave(f, errCallerGone)
		if err := awaitFlight(ctx, f, keepAlive); err != nil {
			return nil, err
		}
		if f.result.answer != nil {
			return f.result.answer, nil
		}
		return nil, connect.NewError(connect.CodeNotFound, eris.New("no answer"))
	}
	answer, err := g.cfg.Answers.Get(req.GetCustomer(), req.GetRequest(), req.GetDigest())
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return answer, nil
}

// awaitFlight waits for the result of f and calls keepAlive every
// peerKeepAliveInterval. It returns the error of keepAlive, or a connect error if ctx
// ends first.
func awaitFlight(ctx context.Context, f *flight, keepAlive func() error) error {
	ticker := time.NewTicker(peerKeepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.done:
			return nil
		case <-ticker.C:
			if err := keepAlive(); err != nil {
				return err
			}
		case <-ctx.Done():
			return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
		}
	}
}

// peers holds the clients of other routers.
type peers struct {
	key        string
	httpClient *http.Client

	mu      *sync.Mutex
	clients map[netip.AddrPort]kcwpbconnect.AnswersClient
}

func newPeers(key string) peers {
	transport := &http.Transport{DisableCompression: true, IdleConnTimeout: peerIdleTimeout}
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return peers{key: key, httpClient: client, mu: &sync.Mutex{}, clients: map[netip.AddrPort]kcwpbconnect.AnswersClient{}}
}

func (p *peers) clientFor(address netip.AddrPort) kcwpbconnect.AnswersClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = kcwpbconnect.NewAnswersClient(p.httpClient, "http://"+address.String())
		p.clients[address] = c
	}
	return c
}

// fetch returns the answer to the same request from the router that owns its claim.
func (g *Gateway) fetch(ctx context.Context, reply *kcwpb.Result, req *request) (*kcwpb.AnswerPart, error) {
	address, err := netip.ParseAddrPort(reply.GetOwnerAddress())
	if err != nil {
		return nil, &Error{Op: "fetch", Kind: KindPeer, Err: eris.Wrap(err, "owner address")}
	}
	ctx, cancel := context.WithTimeout(ctx, g.cfg.AnswerTimeout)
	defer cancel()
	// A router that is suspended keeps its connections open but sends nothing.
	silenceTimer := time.AfterFunc(peerSilenceTimeout, cancel)
	defer silenceTimer.Stop()
	call := connect.NewRequest(&kcwpb.AnswerRequest{Customer: req.contract.Customer, Request: req.identity, Digest: req.digest})
	call.Header().Set("Authorization", "Bearer "+g.peers.key)
	stream, err := g.peers.clientFor(address).Fetch(ctx, call)
	if err != nil {
		return nil, peerError(err, "call")
	}
	defer func() { _ = stream.Close() }()
	answer, err := g.assemble(stream, silenceTimer)
	if err != nil {
		return nil, err
	}
	// The ledger holds the digest of a billed answer.
	digest := sha256.Sum256(answer.GetBody())
	if billed := reply.GetClaim().GetAnswerDigest(); len(billed) > 0 && !kcwkeyring.Equal(billed, digest[:]) {
		return nil, &Error{Op: "fetch", Kind: KindPeer, Err: eris.New("the answer is not the one that was billed")}
	}
	return answer, nil
}

// assemble concatenates the parts of an answer, and resets silenceTimer on every
// message.
func (g *Gateway) assemble(stream *connect.ServerStreamForClient[kcwpb.AnswerPart], silenceTimer *time.Timer) (*kcwpb.AnswerPart, error) {
	answer := &kcwpb.AnswerPart{}
	for stream.Receive() {
		silenceTimer.Reset(peerSilenceTimeout)
		part := stream.Msg()
		if part.GetStatus() == 0 {
			continue
		}
		answer.Status, answer.ContentType = part.GetStatus(), part.GetContentType()
		answer.Body = append(answer.Body, part.GetBody()...)
		if int64(len(answer.Body)) > g.cfg.MaxAnswerBytes {
			return nil, &Error{Op: "fetch", Kind: KindPeer, Err: eris.New("the answer is too large")}
		}
		if part.GetLast() {
			answer.Last = true
			return answer, nil
		}
	}
	return nil, peerError(stream.Err(), "the answer is incomplete")
}

// peerError returns the error of a call to another router that failed with err, nil if the other
// router ended it.
func peerError(err error, text string) *Error {
	kind := KindPeer
	if err == nil {
		err = io.ErrUnexpectedEOF
	} else if !connect.IsWireError(err) {
		kind = KindPeerSilent
	}
	return &Error{Op: "fetch", Kind: kind, Err: eris.Wrap(err, text)}
}
