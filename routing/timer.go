package routing

import "time"

// advance ends the waits, loans and leases that are over.
func (r *Router) advance(now time.Time) {
	if r.ledger.Advance(now) {
		r.serveAll(now)
	}
	r.send(now)
}

// serveAll gives free slots to the waiting requests of all pools.
func (r *Router) serveAll(now time.Time) {
	for _, p := range r.pools {
		r.serve(now, p)
	}
}

// schedule arms the timer for the next time at which a slot of any pool may
// become free without a release, an ejection in the pool ends while requests
// wait, the pool's borrowed slots are due to be given back, or its waiting
// requests are due for another request to a peer.
func (r *Router) schedule(now time.Time, p *pool) {
	if at, ok := r.ledger.NextExpiry(); ok {
		r.arm(now, at)
	}
	for _, b := range p.backends {
		if p.queue.Len() > 0 && b.health.ejected(now) {
			r.arm(now, b.health.ejectedUntil)
		}
		if b.worker.Borrowed() != 0 || p.queue.Len() > 0 && r.options.Peers != nil {
			r.arm(now, now.Add(r.options.Borrow.IdleTime))
		}
	}
}

// arm makes the timer fire at a time, unless it fires earlier.
func (r *Router) arm(now, at time.Time) {
	if r.closed || r.timerAt.After(now) && !at.Before(r.timerAt) {
		return
	}
	r.timerAt = at
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = time.AfterFunc(max(at.Sub(now), 0), r.tick)
}

// tick does what is due and arms the timer again.
func (r *Router) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.timerAt = time.Time{}
	r.advance(now)
	r.giveBack(now)
	r.serveAll(now)
	r.send(now)
	for _, p := range r.pools {
		r.schedule(now, p)
	}
}
