package kcwledger

import (
	"errors"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
)

var (
	errNoAddress = errors.New("no replica address")
	errNoKey     = errors.New("no key")
	errClosed    = errors.New("client closed")
	errSilent    = errors.New("no event within the silence timeout")
	errStale     = errors.New("replica is behind or has no leader")
)

func commands(batch []*call) []*kcwpb.Command {
	cmds := make([]*kcwpb.Command, len(batch))
	for i, w := range batch {
		cmds[i] = w.cmd
	}
	return cmds
}

// complete ends each call of batch with its result. A result without a code means
// that the leader could not determine the outcome of the command.
func complete(batch []*call, results []*kcwpb.Result) {
	for i, w := range batch {
		w.result = results[i]
		if w.result.GetCode() == kcwpb.Code_CODE_UNSPECIFIED {
			w.result = nil
			w.err = &Error{Op: "submit", Kind: OutcomeUnknown, Err: errors.New(results[i].GetDetail())}
		}
		close(w.done)
	}
}

// dropEnded ends the calls whose contexts have ended and returns the others.
func dropEnded(batch []*call) []*call {
	live := batch[:0:len(batch)]
	for _, w := range batch {
		if err := w.ctx.Err(); err != nil {
			w.fail(err)
			continue
		}
		live = append(live, w)
	}
	return live
}

func failAll(batch []*call, err error) {
	for _, w := range batch {
		w.fail(err)
	}
}

func refuseAll(batch []*call, err error) {
	for _, w := range batch {
		w.err = &Error{Op: "submit", Kind: Refused, Err: err}
		close(w.done)
	}
}

func markSent(batch []*call) {
	for _, w := range batch {
		w.sent = true
	}
}

// fail ends w with an Error whose kind depends on whether a replica may have
// received the command.
func (w *call) fail(err error) {
	kind := NotSent
	if w.sent {
		kind = OutcomeUnknown
	}
	w.err = &Error{Op: "submit", Kind: kind, Err: err}
	close(w.done)
}

// isRefusal reports whether err rejects the call itself, so that every other
// replica would return the same error.
func isRefusal(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeInvalidArgument:
		return err != nil
	}
	return false
}

// isNotLeader reports whether err is the answer of a follower, which accepts no
// command.
func isNotLeader(err error) bool {
	var e *connect.Error
	return errors.As(err, &e) && e.Code() == connect.CodeFailedPrecondition
}
