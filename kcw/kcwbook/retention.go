package kcwbook

// chunkClaims is the number of claims in one chunk of a retention queue.
const chunkClaims = 4096

// retained is a queue of closed claims, oldest first, in chunks that are only
// appended to, so that an image shares them.
type retained struct {
	chunks [][]*claim
	// head is the place of the oldest claim in the first chunk.
	head int
}

// push adds c as the newest claim.
func (r *retained) push(c *claim) {
	last := len(r.chunks) - 1
	if last < 0 || len(r.chunks[last]) == chunkClaims {
		r.chunks = append(r.chunks, make([]*claim, 0, chunkClaims))
		last++
	}
	r.chunks[last] = append(r.chunks[last], c)
}

// oldest returns the oldest claim, nil if there is none.
func (r *retained) oldest() *claim {
	if len(r.chunks) == 0 || r.head >= len(r.chunks[0]) {
		return nil
	}
	return r.chunks[0][r.head]
}

// pop removes the oldest claim. There must be one.
func (r *retained) pop() {
	r.head++
	if r.head == chunkClaims {
		r.chunks[0] = nil
		r.chunks = r.chunks[1:]
		r.head = 0
	}
}

// image returns the chunks with the claims of now.
func (r *retained) image() [][]*claim {
	if len(r.chunks) == 0 {
		return nil
	}
	list := append([][]*claim(nil), r.chunks...)
	list[0] = list[0][r.head:]
	return list
}

// expiry returns the time from which a closed claim need not be kept.
func (c *claim) expiry() int64 {
	if c.repeatable {
		return c.closedAt + int64(repeatableRetention)
	}
	return c.closedAt + int64(onceRetention)
}

// expired says whether c, a closed claim of a, is kept no longer. A grant
// whose holder has not drawn or returned since the claim's expiry keeps it: the
// holder may have run the same request while it was cut off.
func expired(a *account, c *claim, at int64) bool {
	expiry := c.expiry()
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
	c := a.closed[request]
	if c == nil || expired(a, c, s.at) {
		return nil
	}
	return c
}

// file puts c, whose state is set, into the tables of a in place of the claim
// that the request has.
func (s *state) file(a *account, c *claim) {
	c.customer = a.customer
	c.upstream = s.shared(c.upstream)
	if old := a.closed[c.request]; old != nil {
		old.replace(s.steps)
		delete(a.closed, c.request)
	}
	if !c.isClosed() {
		a.open[c.request] = c
		return
	}
	delete(a.open, c.request)
	a.closed[c.request] = c
	s.queue(c).push(c)
}

// shared returns name as the claims before used it, so that claims of one
// upstream share its bytes.
func (s *state) shared(name string) string {
	if known, found := s.upstreams[name]; found {
		return known
	}
	if len(s.upstreams) < sharedNames {
		s.upstreams[name] = name
	}
	return name
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
	for _, queue := range []*retained{&s.repeatables, &s.onces} {
		for range removalsPerCommand {
			c := queue.oldest()
			if c == nil || (c.replaced == 0 && s.at < c.expiry()) {
				break
			}
			queue.pop()
			s.remove(queue, c)
		}
	}
}

// remove drops c, which was taken off queue, or puts it back if it is still to
// be kept.
func (s *state) remove(queue *retained, c *claim) {
	if c.replaced != 0 {
		return
	}
	a := s.accounts[c.customer]
	if !expired(a, c, s.at) {
		queue.push(c)
		return
	}
	delete(a.closed, c.request)
}
