package kcwforward

// evidence is what the end of an attempt shows about the parts of its prompt.
type evidence int

const (
	// noEvidence: the attempt has ended for a reason that lies with the caller or the router, or
	// with an answer that says nothing about the prompt.
	noEvidence evidence = iota
	// evidenceAgainst: the upstream closed the connection before the answer was whole.
	evidenceAgainst
	// evidenceFor: the upstream has sent a whole answer.
	evidenceFor
	// weakEvidenceFor: the answer ended with its connection between two events, as a whole one
	// does, and one whose upstream has crashed there.
	weakEvidenceFor
)

// attemptEnd describes how an attempt ended, as far as it shows something about the prompt.
type attemptEnd struct {
	result result
	// isCut is set if the upstream closed the connection before the answer was whole, and
	// isWritten if the whole request had been written by then.
	isCut, isWritten bool
	// isSuccess is set if the status of the answer is one of success, and isCloseDelimited if only
	// the end of the connection ended the answer.
	isSuccess, isCloseDelimited bool
}

// evidence returns what the end shows. An upstream that closes the connection before it has got the
// whole request has not begun to work on the prompt.
func (e attemptEnd) evidence() evidence {
	switch {
	case e.result == unknownRun && e.isCut && e.isWritten:
		return evidenceAgainst
	case e.result != delivered || !e.isSuccess:
		return noEvidence
	case e.isCloseDelimited:
		return weakEvidenceFor
	}
	return evidenceFor
}
