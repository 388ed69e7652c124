package routing

import (
	"math/bits"
	"slices"

	"peridotcrank.dev/fleet"
)

// PoolStats describes a pool as this process uses it.
type PoolStats struct {
	Routable int // Backend servers that accept new requests, ejected ones included.
	Ejected  []fleet.VMID
	// EjectionLimit reports that no further backend server may be ejected.
	EjectionLimit bool
	Waiting       int // Requests that wait for a slot.
	Busy          int // Slots that requests of this process hold.
	Usable        int // Slots that requests of this process may hold.
	Borrowed      int // Slots borrowed from peers.
	Spilled       bool
}

// Stats returns the state of each pool.
func (r *Router) Stats() map[fleet.PoolID]PoolStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	stats := make(map[fleet.PoolID]PoolStats, len(r.pools))
	for id, p := range r.pools {
		s := PoolStats{Routable: len(p.backends), Waiting: p.queue.Len(), Spilled: p.spill.active}
		for _, b := range p.backends {
			s.Busy += bits.OnesCount64(b.worker.Busy())
			s.Usable += bits.OnesCount64(b.worker.Usable())
			s.Borrowed += bits.OnesCount64(b.worker.Borrowed())
			if b.health.ejected(now) {
				s.Ejected = append(s.Ejected, b.vm.ID)
			}
		}
		slices.Sort(s.Ejected)
		s.EjectionLimit = len(s.Ejected) > 0 && 2*(len(s.Ejected)+1) > len(p.backends)
		stats[id] = s
	}
	return stats
}

// UsableSlots returns the number of slots that requests of this process may
// hold, busy or not. It is 0 after a start until former users of the home slots
// must have ended, so that a process without slots does not report ready.
func (r *Router) UsableSlots() int {
	n := 0
	for _, s := range r.Stats() {
		n += s.Usable
	}
	return n
}
