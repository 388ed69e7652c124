package routing

import "time"

// advance ends the waiting times, loans and leases of slots that have expired by
// now, gives freed slots to waiting requests and queues returns.
func (r *Router) advance(now time.Time) {
	if r.ledger.Advance(now) {
		r.serveAllQueues(now)
	}
	r.queueReturns(now)
}

// serveAllQueues gives free slots to the waiting requests of all pools.
func (r *Router) serveAllQueues(now time.Time) {
	for _, p := range r.pools {
		r.serveQueue(now, p)
	}
}

// scheduleTimer arms the timer for the earliest of these times: a slot of any pool
// may become free without a release, an ejection in this pool ends while requests
// wait, idle borrowed slots of this pool are due for their return, or slots for
// its waiting requests are to be requested from a peer again.
func (r *Router) scheduleTimer(now time.Time, p *pool) {
	if at, ok := r.ledger.NextExpiry(); ok {
		r.armTimer(now, at)
	}
	for _, b := range p.backends {
		if p.queue.Len() > 0 && b.health.ejected(now) {
			r.armTimer(now, b.health.ejectedUntil)
		}
		if b.worker.Borrowed() != 0 || p.queue.Len() > 0 && r.options.Peers != nil {
			r.armTimer(now, now.Add(r.options.Borrow.IdleTimeout))
		}
	}
}

// armTimer makes the timer fire at the given time, unless it is already due earlier.
func (r *Router) armTimer(now, at time.Time) {
	if r.closed || r.timerAt.After(now) && !at.Before(r.timerAt) {
		return
	}
	r.timerAt = at
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = time.AfterFunc(max(at.Sub(now), 0), r.onTimer)
}

// onTimer runs when the timer fires. It performs the due actions of all pools and
// arms the timer again.
func (r *Router) onTimer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.timerAt = time.Time{}
	r.advance(now)
	r.returnIdleSlots(now)
	r.serveAllQueues(now)
	r.queueReturns(now)
	for _, p := range r.pools {
		r.scheduleTimer(now, p)
	}
}
