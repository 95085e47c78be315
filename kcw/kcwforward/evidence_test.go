package kcwforward

import "testing"

// TestEvidenceOfEnd checks that only an end that the upstream has caused is evidence.
func TestEvidenceOfEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		end  attemptEnd
		want evidence
	}{
		{"whole", attemptEnd{result: delivered, isSuccess: true}, evidenceFor},
		{"whole, ends with its connection", attemptEnd{result: delivered, isSuccess: true, isCloseDelimited: true}, weakEvidenceFor},
		{"a refusal of the request", attemptEnd{result: delivered}, noEvidence},
		{"cut", attemptEnd{result: unknownRun, isCut: true, isWritten: true}, evidenceAgainst},
		{"cut within the answer", attemptEnd{result: unknownRun, isCut: true, isWritten: true, isSuccess: true}, evidenceAgainst},
		{"cut before the request was written", attemptEnd{result: unknownRun, isCut: true}, noEvidence},
		{"broken without an end of the connection", attemptEnd{result: unknownRun, isWritten: true}, noEvidence},
		{"the caller has disconnected", attemptEnd{result: callerGone, isCut: true, isWritten: true, isSuccess: true}, noEvidence},
		{"another attempt has answered", attemptEnd{result: replaced, isCut: true, isWritten: true}, noEvidence},
		{"the deadline has passed", attemptEnd{result: expired, isCut: true, isWritten: true}, noEvidence},
		{"the router stops", attemptEnd{result: stopped}, noEvidence},
		{"too large", attemptEnd{result: oversized, isSuccess: true}, noEvidence},
		{"a failure", attemptEnd{result: failedRun, isWritten: true}, noEvidence},
	} {
		if got := test.end.evidence(); got != test.want {
			t.Errorf("%s: got %d, want %d", test.name, got, test.want)
		}
	}
}
