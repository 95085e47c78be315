package kcwledger

import (
	"errors"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
)

var (
	errNoAddress = errors.New("no address of a replica")
	errNoKey     = errors.New("no key")
	errClosed    = errors.New("client closed")
	errSilent    = errors.New("no event within the silence timeout")
	errStale     = errors.New("replica is behind or cut off from its leader")
)

func commands(batch []*call) []*kcwpb.Command {
	cmds := make([]*kcwpb.Command, len(batch))
	for i, w := range batch {
		cmds[i] = w.cmd
	}
	return cmds
}

// answer gives each call of batch its result. A result with no code stands for
// a command whose fate the leader doesn't know.
func answer(batch []*call, results []*kcwpb.Result) {
	for i, w := range batch {
		w.result = results[i]
		if w.result.GetCode() == kcwpb.Code_CODE_UNSPECIFIED {
			w.result = nil
			w.err = &Error{Op: "submit", Kind: OutcomeUnknown, Err: errors.New(results[i].GetDetail())}
		}
		close(w.done)
	}
}

// dropEnded ends the calls whose callers gave up and returns the others.
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

// fail ends w with a kind that says whether a replica may have the command.
func (w *call) fail(err error) {
	kind := NotSent
	if w.sent {
		kind = OutcomeUnknown
	}
	w.err = &Error{Op: "submit", Kind: kind, Err: err}
	close(w.done)
}

// isRefusal reports whether err is the ledger's word on the call itself, which
// no other replica would answer otherwise.
func isRefusal(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeInvalidArgument:
		return err != nil
	}
	return false
}

// isNotLeader reports whether err is a follower's word that it took nothing.
func isNotLeader(err error) bool {
	var e *connect.Error
	return errors.As(err, &e) && e.Code() == connect.CodeFailedPrecondition
}
