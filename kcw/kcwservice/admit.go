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

// handlerOptions returns the options of a handler that requires key.
func handlerOptions(key string) connect.HandlerOption {
	auth := &keyAuth{keyHash: sha256.Sum256([]byte(key))}
	return connect.WithHandlerOptions(
		connect.WithInterceptors(auth),
		connect.WithReadMaxBytes(maxMessageBytes),
	)
}

// keyAuth compares the SHA-256 of each call's bearer key with keyHash in constant
// time, and refuses the call if they differ.
type keyAuth struct {
	keyHash [sha256.Size]byte
}

func (a *keyAuth) check(authorization string) error {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	hash := sha256.Sum256([]byte(key))
	if ok && subtle.ConstantTimeCompare(hash[:], a.keyHash[:]) == 1 {
		return nil
	}
	return connect.NewError(connect.CodeUnauthenticated, &Error{Op: "call", Kind: Forbidden})
}

// WrapUnary implements connect.Interceptor.
func (a *keyAuth) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if err := a.check(req.Header().Get("Authorization")); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor. A handler has no client.
func (a *keyAuth) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (a *keyAuth) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := a.check(conn.RequestHeader().Get("Authorization")); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

// notLeader returns the answer of a replica that is not the leader and has applied
// nothing of the call. It names the leader if status has one.
func notLeader(status *kcwpb.GroupStatus) error {
	return withLeader(connect.CodeFailedPrecondition, status, errors.New("not the leader"))
}

// unavailable returns the answer to a call that failed with err and whose commands
// may still be applied. It names the leader if status has one.
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
