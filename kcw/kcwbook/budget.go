package kcwbook

// budget is the state of one prepaid budget, in tokens.
type budget struct {
	prepaid  int64
	billed   int64
	reserved int64
	granted  int64
	// withheld is the part of a reduction that waits for tokens to return.
	withheld int64
}

// free returns the tokens that may still be reserved or granted.
func (b budget) free() int64 {
	return b.prepaid - b.billed - b.reserved - b.granted
}

// target returns the prepaid tokens once all that is withheld has returned.
func (b budget) target() int64 {
	return b.prepaid - b.withheld
}

// valid says whether the budget holds the invariant.
func (b budget) valid() bool {
	for _, part := range []int64{b.prepaid, b.billed, b.reserved, b.granted, b.withheld} {
		if part < 0 || part > maxTokens {
			return false
		}
	}
	return b.free() >= 0 && b.withheld <= b.prepaid
}

// absorb takes withheld tokens out of those that have come free.
func (b budget) absorb() budget {
	taken := min(b.free(), b.withheld)
	if taken > 0 {
		b.prepaid -= taken
		b.withheld -= taken
	}
	return b
}

// amend changes the target by tokens, which may be negative. What is free goes
// at once and the rest is withheld. It returns false if the target would leave
// the range from zero to maxTokens.
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
		return b.absorb(), true
	}
	cancelled := min(b.withheld, tokens)
	b.withheld -= cancelled
	b.prepaid += tokens - cancelled
	return b, true
}
