package kcwbook

// expiryOf returns the time at which the retention of a record ends.
func expiryOf(record []byte) int64 {
	if record[0]&flagRepeatable != 0 {
		return recordClosedAt(record) + int64(repeatableRetention)
	}
	return recordClosedAt(record) + int64(nonRepeatableRetention)
}

// expired reports whether record, the record of a closed claim of a, need not be
// retained at the time at. After its expiry it is still retained until every router
// incarnation with granted tokens has drawn or returned tokens since the expiry: one
// that has not may have run the same request while it was cut off from the ledger.
func expired(a *account, record []byte, at int64) bool {
	expiry := expiryOf(record)
	if at < expiry {
		return false
	}
	for i := range a.grants {
		if a.grants[i].tokens > 0 && a.grants[i].touchedAt < expiry {
			return false
		}
	}
	return true
}

// findClaim returns the claim of a for request, nil if there is none or it has
// expired.
func (s *state) findClaim(a *account, request string) *claim {
	if c := a.open[request]; c != nil {
		return c
	}
	for _, queue := range s.queues() {
		number := queue.find(a.slot, request)
		if number == 0 {
			continue
		}
		if record := queue.record(number); !expired(a, record, s.now) {
			return s.decoder().claim(record)
		}
	}
	return nil
}

// storeClaim stores c, whose state is set, in place of any claim of the same
// request.
func (s *state) storeClaim(a *account, c *claim) {
	c.customer = a.customer
	c.upstream = s.upstreams.intern(c.upstream)
	for _, queue := range s.queues() {
		queue.markReplaced(a.slot, c.request, s.generation)
	}
	if !c.isClosed() {
		a.open[c.request] = c
		return
	}
	delete(a.open, c.request)
	s.queueFor(c).push(s, c, a.slot)
}

// queues returns both retention queues.
func (s *state) queues() [2]*retentionQueue {
	return [...]*retentionQueue{&s.repeatableClaims, &s.nonRepeatableClaims}
}

// queueFor returns the retention queue for c.
func (s *state) queueFor(c *claim) *retentionQueue {
	if c.repeatable {
		return &s.repeatableClaims
	}
	return &s.nonRepeatableClaims
}

// sweep removes up to removalsPerCommand expired claims from each queue.
func (s *state) sweep() {
	for _, queue := range s.queues() {
		for range removalsPerCommand {
			number := queue.oldest()
			if number == 0 || !s.sweepOldest(queue, number) {
				break
			}
		}
	}
}

// sweepOldest removes the oldest claim from queue and returns true, or returns
// false if its retention has not ended. A claim that must be retained past its
// expiry is added again as the newest one.
func (s *state) sweepOldest(queue *retentionQueue, number uint64) bool {
	chunk, position := queue.locate(number)
	if chunk.isReplaced(position) {
		queue.pop()
		return true
	}
	record := chunk.record(position)
	if s.now < expiryOf(record) {
		return false
	}
	c := s.decoder().claim(record)
	a := s.accounts[c.customer]
	queue.removeFromIndex(number, a.slot, c.request)
	queue.pop()
	if !expired(a, record, s.now) {
		queue.push(s, c, a.slot)
	}
	return true
}
