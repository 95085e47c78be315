package kcwconn

import "time"

// SetMaxOpen bounds the open connections: a new one takes the place of an idle one, and beyond n
// connections all idle ones make room, and Put closes those whose requests have ended. Requests
// may have more than n connections. Zero stands for no bound.
func (p *Pool) SetMaxOpen(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = n
}

// Counts are numbers of connections.
type Counts struct {
	// Open counts the connections that are open or being opened, and Idle those of them that
	// carry no request.
	Open, Idle int
	// Opened counts the connections that were opened so far.
	Opened int64
}

// Counts returns the numbers of connections.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Counts{Open: p.open, Idle: len(p.idle), Opened: p.opened}
}

// HasIdle reports whether an idle connection was last used at usedAfter or later. It does not
// check whether the upstream has closed it.
func (p *Pool) HasIdle(usedAfter time.Time) bool {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return false
	}
	c := p.idle[len(p.idle)-1]
	return !c.idleSince.Before(usedAfter) && now.Before(c.expiresAt)
}

// Trim closes the idle connections that have expired. Take does so as well, but an upstream that
// gets no requests would keep them.
func (p *Pool) Trim() {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired(now)
}

// closeExpired closes the idle connections that have expired at now. The caller must hold mu.
func (p *Pool) closeExpired(now time.Time) {
	live := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expiresAt) {
			live = append(live, c)
			continue
		}
		p.discard(c)
	}
	p.idle = live
}

// beginDial counts a connection that is being opened. If open connections are bounded, it takes the
// place of the idle one that was not used for longest, and of more if there are too many with
// it: the request could use none of them, and as many as run at the same time are enough.
func (p *Pool) beginDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	for first := true; p.maxOpen > 0 && len(p.idle) > 0 && (first || p.open > p.maxOpen); first = false {
		p.discard(p.idle[0])
		p.idle = p.idle[1:]
	}
}

// endDial records whether the connection of beginDial was opened.
func (p *Pool) endDial(isOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isOpen {
		p.opened++
	} else {
		p.open--
	}
}

// forget counts c as closed, once. The caller must hold mu.
func (p *Pool) forget(c *Conn) {
	if !c.closed {
		c.closed = true
		p.open--
	}
}

// discard closes a connection that carries no request. The caller must hold mu.
func (p *Pool) discard(c *Conn) {
	p.forget(c)
	_ = c.Conn.Close()
}
