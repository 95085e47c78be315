package kcwbook

import "kingcupwick.example/kcw/kcwpb"

// isName reports whether text is the name of a customer or router: lower case
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

// isIdentity reports whether text may identify a request or a change.
func isIdentity(text string) bool {
	return text != "" && len(text) <= maxIdentityBytes
}

// isAmount reports whether tokens is in the range of a token field.
func isAmount(tokens int64) bool {
	return tokens >= 0 && tokens <= maxTokens
}

// isDigest reports whether digest has the size of a SHA-256 or is absent.
func isDigest(digest []byte) bool {
	return len(digest) == 0 || len(digest) == digestSize
}

// checkOpen returns the first problem of op, or an empty string.
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

// checkSettle returns the first problem of op, or an empty string.
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

// isOutcome reports whether outcome is one that a claim can have.
func isOutcome(outcome kcwpb.Outcome) bool {
	return outcome == kcwpb.Outcome_OUTCOME_RAN ||
		outcome == kcwpb.Outcome_OUTCOME_NOT_RUN ||
		outcome == kcwpb.Outcome_OUTCOME_UNKNOWN
}

// checkPut returns the first problem of op, or an empty string.
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

// checkLimits returns the first problem of limits, or an empty string.
func checkLimits(limits *kcwpb.Limits) string {
	for _, limit := range []int64{limits.GetOpenRequests(), limits.GetRequestsPerMinute(), limits.GetTokensPerMinute()} {
		if !isAmount(limit) {
			return "a limit is out of range"
		}
	}
	return ""
}
