package kcwbook

import "kingcupwick.example/kcw/kcwpb"

// isName says whether text is the name of a customer or router: lower case
// letters, digits and hyphens, 1 to maxNameBytes of them.
func isName(text string) bool {
	if text == "" || len(text) > maxNameBytes {
		return false
	}
	for i := range len(text) {
		c := text[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// isIdentity says whether text may identify a request or a change.
func isIdentity(text string) bool {
	return text != "" && len(text) <= maxIdentityBytes
}

// isAmount says whether tokens is an amount that one field may hold.
func isAmount(tokens int64) bool {
	return tokens >= 0 && tokens <= maxTokens
}

// isDigest says whether digest is a SHA-256 or absent.
func isDigest(digest []byte) bool {
	return len(digest) == 0 || len(digest) == digestSize
}

// checkOpen returns what is wrong with op, empty if nothing is.
func checkOpen(op *kcwpb.OpenClaim) string {
	switch {
	case !isName(op.GetCustomer()):
		return "the customer is not a name"
	case !isIdentity(op.GetRequest()):
		return "the request identity is empty or too long"
	case !isAmount(op.GetTokens()):
		return "the tokens are out of range"
	case !isDigest(op.GetDigest()):
		return "the digest is not a SHA-256"
	case op.GetLeaseNanos() < 0 || op.GetLeaseNanos() > int64(maxLease):
		return "the lease is out of range"
	}
	return ""
}

// checkSettle returns what is wrong with op, empty if nothing is.
func checkSettle(op *kcwpb.SettleClaim) string {
	switch {
	case !isName(op.GetCustomer()):
		return "the customer is not a name"
	case !isIdentity(op.GetRequest()):
		return "the request identity is empty or too long"
	case !isAmount(op.GetTokens()):
		return "the tokens are out of range"
	case !isDigest(op.GetDigest()), !isDigest(op.GetAnswerDigest()):
		return "a digest is not a SHA-256"
	case len(op.GetUpstream()) > maxTextBytes:
		return "the upstream is too long"
	case !isOutcome(op.GetOutcome()):
		return "the outcome is not known"
	}
	return ""
}

// isOutcome says whether outcome is one of those that a claim can have.
func isOutcome(outcome kcwpb.Outcome) bool {
	return outcome == kcwpb.Outcome_OUTCOME_RAN ||
		outcome == kcwpb.Outcome_OUTCOME_NOT_RUN ||
		outcome == kcwpb.Outcome_OUTCOME_UNKNOWN
}

// checkPut returns what is wrong with op, empty if nothing is.
func checkPut(op *kcwpb.PutContract) string {
	contract := op.GetContract()
	switch {
	case !isIdentity(op.GetChange()):
		return "the change identity is empty or too long"
	case contract == nil:
		return "the change has no contract"
	case !isName(contract.GetCustomer()):
		return "the customer is not a name"
	case !isAmount(contract.GetPrepaidTokens()):
		return "the prepaid tokens are out of range"
	case len(contract.GetSpec()) > maxSpecBytes:
		return "the contract is too large"
	case len(contract.GetKeyHashes()) > maxKeys:
		return "the contract has too many keys"
	}
	return checkLimits(contract.GetLimits())
}

// checkLimits returns what is wrong with limits, empty if nothing is.
func checkLimits(limits *kcwpb.Limits) string {
	for _, limit := range []int64{limits.GetOpenRequests(), limits.GetRequestsPerMinute(), limits.GetTokensPerMinute()} {
		if !isAmount(limit) {
			return "a limit is out of range"
		}
	}
	return ""
}
