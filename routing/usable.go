package routing

import "math/bits"

// UsableSlots returns the number of slots that requests of this process may
// hold, busy or not. It is 0 after a start until former users of the home slots
// must have ended, so that a process without slots does not report ready.
func (r *Router) UsableSlots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	n := 0
	for _, p := range r.pools {
		for _, w := range p.workers(now) {
			n += bits.OnesCount64(w.Usable())
		}
	}
	return n
}
