package kcwbook

// expiryOf returns the time from which the claim of a record need not be kept.
func expiryOf(record []byte) int64 {
	if record[0]&flagRepeatable != 0 {
		return closedAt(record) + int64(repeatableRetention)
	}
	return closedAt(record) + int64(onceRetention)
}

// expired says whether the claim of record, closed for a, is kept no longer. A grant
// whose holder has not drawn or returned since the claim's expiry keeps it: the
// holder may have run the same request while it was cut off.
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

// find returns the claim of a for request, nil if there is none or it is kept
// no longer.
func (s *state) find(a *account, request string) *claim {
	if c := a.open[request]; c != nil {
		return c
	}
	for _, queue := range s.queues() {
		number := queue.find(a.slot, request)
		if number == 0 {
			continue
		}
		if record := queue.record(number); !expired(a, record, s.at) {
			return s.decoder().claim(record)
		}
	}
	return nil
}

// file puts c, whose state is set, into the tables of a in place of the claim
// that the request has.
func (s *state) file(a *account, c *claim) {
	c.customer = a.customer
	c.upstream = s.upstreams.shared(c.upstream)
	for _, queue := range s.queues() {
		queue.replace(a.slot, c.request, s.generation)
	}
	if !c.isClosed() {
		a.open[c.request] = c
		return
	}
	delete(a.open, c.request)
	s.queue(c).push(s, c, a.slot)
}

// queues returns both retention queues.
func (s *state) queues() [2]*retained {
	return [...]*retained{&s.repeatables, &s.onces}
}

// queue returns the retention queue for c.
func (s *state) queue(c *claim) *retained {
	if c.repeatable {
		return &s.repeatables
	}
	return &s.onces
}

// sweep removes some of the closed claims that are kept no longer.
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

// sweepOldest takes the oldest claim off queue and returns true, or leaves it
// and returns false if its time has not come. A claim that is still to be kept
// is put back as the newest.
func (s *state) sweepOldest(queue *retained, number uint64) bool {
	chunk, place := queue.at(number)
	if chunk.isReplaced(place) {
		queue.pop()
		return true
	}
	record := chunk.record(place)
	if s.at < expiryOf(record) {
		return false
	}
	c := s.decoder().claim(record)
	a := s.accounts[c.customer]
	queue.drop(number, a.slot, c.request)
	queue.pop()
	if !expired(a, record, s.at) {
		queue.push(s, c, a.slot)
	}
	return true
}
