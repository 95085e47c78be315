package kcwservice

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"strings"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
)

// maxMessageBytes bounds one message from another process.
const maxMessageBytes = 16 << 20

// admit returns the options of a handler that answers holders of key alone.
func admit(key string) connect.HandlerOption {
	guard := &guard{want: sha256.Sum256([]byte(key))}
	return connect.WithHandlerOptions(
		connect.WithInterceptors(guard),
		connect.WithReadMaxBytes(maxMessageBytes),
	)
}

// guard compares the bearer key of each call in constant time.
type guard struct {
	want [sha256.Size]byte
}

func (g *guard) check(authorization string) error {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	got := sha256.Sum256([]byte(key))
	if ok && subtle.ConstantTimeCompare(got[:], g.want[:]) == 1 {
		return nil
	}
	return connect.NewError(connect.CodeUnauthenticated, &Error{Op: "call", Kind: Forbidden})
}

// WrapUnary implements connect.Interceptor.
func (g *guard) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if err := g.check(req.Header().Get("Authorization")); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor. A handler has no client.
func (g *guard) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (g *guard) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := g.check(conn.RequestHeader().Get("Authorization")); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

// notLeader returns the answer of a replica that does not lead and took
// nothing of the call. It names the leader if one is known.
func notLeader(status *kcwpb.GroupStatus) error {
	return withLeader(connect.CodeFailedPrecondition, status, errors.New("not the leader"))
}

// unavailable returns the answer to a call whose fate is not known.
func unavailable(status *kcwpb.GroupStatus, err error) error {
	return withLeader(connect.CodeUnavailable, status, err)
}

func withLeader(code connect.Code, status *kcwpb.GroupStatus, err error) error {
	e := connect.NewError(code, err)
	if status.LeaderAddress != "" {
		e.Meta().Set(kcwledger.LeaderHeader, status.LeaderAddress)
	}
	return e
}
