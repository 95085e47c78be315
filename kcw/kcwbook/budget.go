package kcwbook

// budget is the state of one prepaid budget, in tokens.
type budget struct {
	prepaid  int64
	billed   int64
	reserved int64
	granted  int64
	// withheld is the part of a reduction that is not applied yet, because its
	// tokens are still reserved or granted.
	withheld int64
}

// free returns the tokens that may still be reserved or granted.
func (b budget) free() int64 {
	return b.prepaid - b.billed - b.reserved - b.granted
}

// target returns the prepaid tokens after the withheld part is deducted.
func (b budget) target() int64 {
	return b.prepaid - b.withheld
}

// valid reports whether the budget satisfies the invariant: each part is from zero
// to maxTokens, the billed, reserved and granted tokens together do not exceed the
// prepaid ones, and neither do the withheld ones.
func (b budget) valid() bool {
	for _, part := range []int64{b.prepaid, b.billed, b.reserved, b.granted, b.withheld} {
		if part < 0 || part > maxTokens {
			return false
		}
	}
	return b.free() >= 0 && b.withheld <= b.prepaid
}

// applyWithheld deducts withheld tokens from the prepaid ones, as far as tokens are
// free.
func (b budget) applyWithheld() budget {
	deducted := min(b.free(), b.withheld)
	if deducted > 0 {
		b.prepaid -= deducted
		b.withheld -= deducted
	}
	return b
}

// amend changes the target by tokens, which may be negative. A reduction deducts
// free tokens at once and withholds the rest. It returns false if the target would
// not be in the range from zero to maxTokens.
func (b budget) amend(tokens int64) (budget, bool) {
	if tokens > maxTokens || tokens < -maxTokens {
		return b, false
	}
	target := b.target() + tokens
	if target < 0 || target > maxTokens {
		return b, false
	}
	if tokens < 0 {
		b.withheld -= tokens
		return b.applyWithheld(), true
	}
	cancelled := min(b.withheld, tokens)
	b.withheld -= cancelled
	b.prepaid += tokens - cancelled
	return b, true
}
