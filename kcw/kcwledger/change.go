package kcwledger

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
)

// Change submits an operator's command and returns its result. It resends cmd,
// whose identity makes it idempotent, until ctx ends, and needs the operator's
// key. The error is of kind NotSent when no replica can have received cmd, of
// kind OutcomeUnknown when cmd may still be applied, of kind Refused when the
// ledger refused the call, and of kind Closed when the client was closed, whether
// or not cmd may still be applied.
func (c *Client) Change(ctx context.Context, cmd *kcwpb.Command) (*kcwpb.Result, error) {
	var result *kcwpb.Result
	sent := false
	err := c.try(ctx, "change", func(ctx context.Context, l *link) error {
		ctx, connected := traceConnected(ctx)
		r, err := l.operator.Submit(ctx, connect.NewRequest(&kcwpb.SubmitRequest{Commands: []*kcwpb.Command{cmd}}))
		if err == nil && (len(r.Msg.Results) != 1 || r.Msg.Results[0].GetCode() == kcwpb.Code_CODE_UNSPECIFIED) {
			err = errors.New("the leader reported no outcome of the command")
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

// traceConnected returns a context for one call and a flag that is set when the
// call gets a connection. Without one, no replica can have received the call.
func traceConnected(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := &atomic.Bool{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), connected
}
