package routing

import (
	"time"

	"peridotcrank.dev/fleet"
)

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventEjected  EventKind = "ejected"  // A backend server gets no requests until Until.
	EventRestored EventKind = "restored" // An ejected backend server takes its full load again.
	EventSpill    EventKind = "spill"    // A pool uses other availability zones as much as its own.
	EventLocal    EventKind = "local"    // A pool uses its own availability zone first again.
)

// Event is a change of the router's own decisions, for the log and the timeline.
type Event struct {
	Kind EventKind
	Pool fleet.PoolID
	// VM, Refusals, Rate and Until are set for EventEjected, VM also for EventRestored.
	VM fleet.VMID
	// Refusals is the number of consecutive attempts without a written byte.
	Refusals int
	// Rate is the share of failed attempts, weighted by age.
	Rate  float64
	Until time.Time
}

// notify passes an event on.
func (r *Router) notify(e Event) {
	if r.options.Notify != nil {
		r.options.Notify(e)
	}
}

// pick chooses a backend server of the pool and notes a change of its spill.
func (r *Router) pick(now time.Time, p *pool, avoid []Target) *backend {
	before := p.spill.active
	b := p.pick(now, avoid, r.random.Uint64())
	switch {
	case p.spill.active == before:
	case before:
		r.notify(Event{Kind: EventLocal, Pool: p.id})
	default:
		r.notify(Event{Kind: EventSpill, Pool: p.id})
	}
	return b
}

// observe records an attempt on a backend server and notes an ejection or the
// end of one.
func (r *Router) observe(now time.Time, p *pool, b *backend, result Result) {
	returning := b.health.allowed > 0
	b.health.observe(now, result, b.vm.Slots)
	attempt := b.health
	if result != ResultAnswered {
		p.ejectIfFailing(now, b, r.options.Ejection)
	}
	switch {
	case b.health.ejected(now):
		r.notify(Event{
			Kind: EventEjected, Pool: p.id, VM: b.vm.ID,
			Refusals: attempt.refusals, Rate: attempt.rate, Until: b.health.ejectedUntil,
		})
	case returning && b.health.allowed == 0:
		r.notify(Event{Kind: EventRestored, Pool: p.id, VM: b.vm.ID})
	}
}
