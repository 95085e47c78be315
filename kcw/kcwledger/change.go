package kcwledger

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
)

// Change has an operator's command carried out and returns its result. It
// resends cmd with the identity that it carries until ctx ends, and needs the
// operator's key. The error is of kind NotSent when no replica can have
// received cmd, of kind OutcomeUnknown when cmd may still be carried out, and
// of kind Refused when the ledger refused the call.
func (c *Client) Change(ctx context.Context, cmd *kcwpb.Command) (*kcwpb.Result, error) {
	var result *kcwpb.Result
	sent := false
	err := c.try(ctx, "change", func(ctx context.Context, l *link) error {
		ctx, connected := traceConnected(ctx)
		r, err := l.operator.Submit(ctx, connect.NewRequest(&kcwpb.SubmitRequest{Commands: []*kcwpb.Command{cmd}}))
		if err == nil && (len(r.Msg.Results) != 1 || r.Msg.Results[0].GetCode() == kcwpb.Code_CODE_UNSPECIFIED) {
			err = errors.New("the leader doesn't know the command's fate")
		}
		if err != nil {
			sent = sent || connected.Load() && !isNotLeader(err)
			return err
		}
		result = r.Msg.Results[0]
		return nil
	})
	var e *Error
	if errors.As(err, &e) && e.Kind == Unavailable {
		e.Kind = NotSent
		if sent {
			e.Kind = OutcomeUnknown
		}
	}
	return result, err
}

// traceConnected returns a context for one call, and whether the call was given
// a connection: without one, no replica can have received it.
func traceConnected(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := &atomic.Bool{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), connected
}
