package routing

import (
	"cmp"
	"math/bits"
	"slices"

	"peridotcrank.dev/fleet"
)

// PoolStatus is the state of one pool in this process, as shown in metrics and to
// operators.
type PoolStatus struct {
	Pool fleet.PoolID
	// Backends is the number of routable backend servers. Ejected is the number of
	// those that get no requests, and Probation the number of those whose concurrent
	// requests are limited after an ejection.
	Backends, Ejected, Probation int
	// Waiting is the number of requests that wait for a slot.
	Waiting int
	// Usable is the number of slots that this process is allowed to use, Busy the
	// number that its requests hold. Usable includes Borrowed slots, but not Lent
	// ones.
	Usable, Busy, Borrowed, Lent int
	// Spilling reports that the pool uses other availability zones as much as this
	// process's own.
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
			case b.health.maxConcurrent > 0:
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

// Ready reports whether requests can get slots: either the process has usable
// slots, or it has no home slots to wait for and borrows, as in an availability
// zone without workers. After a start it is false until the former users of the
// home slots must have ended, so that a process does not become ready without
// slots.
func (r *Router) Ready() bool {
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
