package routing

import (
	"cmp"
	"math/bits"
	"slices"

	"peridotcrank.dev/fleet"
)

// PoolStatus is the state of one pool in this process, for metrics and operators.
type PoolStatus struct {
	Pool fleet.PoolID
	// Backends is the number of routable backend servers; Ejected of them get
	// no requests, and Probation of them are coming back.
	Backends, Ejected, Probation int
	// Waiting is the number of requests that wait for a slot.
	Waiting int
	// Usable is the number of slots that this process may use, Busy the number
	// that its requests hold. Borrowed slots are part of Usable, lent ones are not.
	Usable, Busy, Borrowed, Lent int
	// Spilling reports that other availability zones are used as much as the own.
	Spilling bool
}

// Status returns the state of each pool, sorted by pool.
func (r *Router) Status() []PoolStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	all := make([]PoolStatus, 0, len(r.pools))
	for _, p := range r.pools {
		s := PoolStatus{Pool: p.id, Backends: len(p.backends), Waiting: p.queue.Len(), Spilling: p.spill.active}
		for _, b := range p.backends {
			switch {
			case b.health.ejected(now):
				s.Ejected++
			case b.health.allowed > 0:
				s.Probation++
			}
			s.Usable += bits.OnesCount64(b.worker.Usable())
			s.Busy += bits.OnesCount64(b.worker.Busy())
			s.Borrowed += bits.OnesCount64(b.worker.Borrowed())
			s.Lent += bits.OnesCount64(b.worker.Lent())
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b PoolStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	return all
}

// Prepared reports whether requests can get slots: the process may use some, or
// waits for none and borrows, as in an availability zone without workers. It is
// false after a start until former users of the home slots must have ended, so
// that a process without slots does not report ready.
func (r *Router) Prepared() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(r.options.Now())
	usable, waiting := 0, 0
	for _, p := range r.pools {
		for _, b := range p.backends {
			usable += bits.OnesCount64(b.worker.Usable())
			waiting += bits.OnesCount64(b.worker.AwaitingRelease())
		}
	}
	return len(r.pools) > 0 && (usable > 0 || waiting == 0)
}
