package kcwgateway

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

const (
	// partBytes is the size of one part of an answer between routers.
	partBytes = 64 << 10
	// peerIdleTimeout is how long an unused connection to a router is kept.
	peerIdleTimeout = 30 * time.Second
	// peerBeat is the time between two empty parts from a router whose answer
	// is not finished, and peerSilence how long another waits for a part.
	peerBeat    = 500 * time.Millisecond
	peerSilence = 2 * time.Second
)

// Answers returns the path and handler of the Answers service, for the
// internal address.
func (g *Gateway) Answers() (string, http.Handler) {
	return kcwpbconnect.NewAnswersHandler(&answerService{g})
}

// answerService gives finished answers to other routers.
type answerService struct {
	gateway *Gateway
}

// Fetch sends the answer to a request, once it is finished.
func (s *answerService) Fetch(ctx context.Context, req *connect.Request[kcwpb.AnswerRequest], stream *connect.ServerStream[kcwpb.AnswerPart]) error {
	peers := s.gateway.cfg.Peers
	if peers == nil || !peers.Admits(req.Header()) {
		return connect.NewError(connect.CodeUnauthenticated, eris.New("unknown process key"))
	}
	beat := func() error { return stream.Send(&kcwpb.AnswerPart{}) }
	answer, err := s.gateway.finished(ctx, req.Msg, beat)
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

// finished returns the answer to a request of this router, for which it waits
// while the request is in flight, calling beat meanwhile.
func (g *Gateway) finished(ctx context.Context, req *kcwpb.AnswerRequest, beat func() error) (*kcwpb.AnswerPart, error) {
	if f := g.flights.follow(identity{req.GetCustomer(), req.GetRequest()}, req.GetDigest()); f != nil {
		defer g.flights.leave(f, errCallerGone)
		if err := await(ctx, f, beat); err != nil {
			return nil, err
		}
		if f.verdict.answer != nil {
			return f.verdict.answer, nil
		}
		return nil, connect.NewError(connect.CodeNotFound, eris.New("no answer"))
	}
	answer, err := g.cfg.Answers.Get(req.GetCustomer(), req.GetRequest(), req.GetDigest())
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return answer, nil
}

// await waits for the end of f, calling beat meanwhile.
func await(ctx context.Context, f *flight, beat func() error) error {
	ticker := time.NewTicker(peerBeat)
	defer ticker.Stop()
	for {
		select {
		case <-f.done:
			return nil
		case <-ticker.C:
			if err := beat(); err != nil {
				return err
			}
		case <-ctx.Done():
			return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
		}
	}
}

// peers holds the connections to other routers.
type peers struct {
	key    string
	client *http.Client

	mu    *sync.Mutex
	table map[netip.AddrPort]kcwpbconnect.AnswersClient
}

func newPeers(key string) peers {
	transport := &http.Transport{DisableCompression: true, IdleConnTimeout: peerIdleTimeout}
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return peers{key: key, client: client, mu: &sync.Mutex{}, table: map[netip.AddrPort]kcwpbconnect.AnswersClient{}}
}

func (p *peers) at(address netip.AddrPort) kcwpbconnect.AnswersClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.table[address]
	if !ok {
		c = kcwpbconnect.NewAnswersClient(p.client, "http://"+address.String())
		p.table[address] = c
	}
	return c
}

// fetch returns the answer that another router gave to the same request.
func (g *Gateway) fetch(ctx context.Context, reply *kcwpb.Result, req *request) (*kcwpb.AnswerPart, error) {
	parsed, err := netip.ParseAddrPort(reply.GetOwnerAddress())
	if err != nil {
		return nil, &Error{Op: "fetch", Kind: KindPeer, Err: eris.Wrap(err, "owner address")}
	}
	ctx, cancel := context.WithTimeout(ctx, g.cfg.AnswerTimeout)
	defer cancel()
	// A router that stands still keeps its connections, but sends nothing.
	watch := time.AfterFunc(peerSilence, cancel)
	defer watch.Stop()
	call := connect.NewRequest(&kcwpb.AnswerRequest{Customer: req.contract.Customer, Request: req.identity, Digest: req.digest})
	call.Header().Set("Authorization", "Bearer "+g.peers.key)
	stream, err := g.peers.at(parsed).Fetch(ctx, call)
	if err != nil {
		return nil, &Error{Op: "fetch", Kind: KindPeer, Err: eris.Wrap(err, "call")}
	}
	defer func() { _ = stream.Close() }()
	whole, err := g.assemble(stream, watch)
	if err != nil {
		return nil, err
	}
	// The ledger knows the digest of a billed answer.
	digest := sha256.Sum256(whole.GetBody())
	if billed := reply.GetClaim().GetAnswerDigest(); len(billed) > 0 && !kcwkeyring.Equal(billed, digest[:]) {
		return nil, &Error{Op: "fetch", Kind: KindPeer, Err: eris.New("the answer is not the one that was billed")}
	}
	return whole, nil
}

// assemble returns the answer that the parts of a stream make up, and renews
// watch with each.
func (g *Gateway) assemble(stream *connect.ServerStreamForClient[kcwpb.AnswerPart], watch *time.Timer) (*kcwpb.AnswerPart, error) {
	whole := &kcwpb.AnswerPart{}
	for stream.Receive() {
		watch.Reset(peerSilence)
		part := stream.Msg()
		if part.GetStatus() == 0 {
			continue
		}
		whole.Status, whole.ContentType = part.GetStatus(), part.GetContentType()
		whole.Body = append(whole.Body, part.GetBody()...)
		if int64(len(whole.Body)) > g.cfg.MaxAnswerBytes {
			return nil, &Error{Op: "fetch", Kind: KindPeer, Err: eris.New("the answer is too large")}
		}
		if part.GetLast() {
			whole.Last = true
			return whole, nil
		}
	}
	return nil, &Error{Op: "fetch", Kind: KindPeer, Err: eris.Wrap(stream.Err(), "the answer broke off")}
}
