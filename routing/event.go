package routing

import (
	"time"

	"peridotcrank.dev/fleet"
)

// EventKind tells which decision an Event reports.
type EventKind string

// Kinds of events.
const (
	EventEjected  EventKind = "ejected"  // A backend server gets no requests until Until.
	EventRestored EventKind = "restored" // The limit on a backend server after an ejection has ended.
	EventSpill    EventKind = "spill"    // A pool uses other availability zones as much as its own.
	EventLocal    EventKind = "local"    // A pool prefers its own availability zone again.
)

// Event is a decision of the router that appears in the log and the timeline.
type Event struct {
	Kind EventKind
	Pool fleet.PoolID
	// VM is set for EventEjected and EventRestored. Refusals, Rate and Until are
	// set for EventEjected only.
	VM fleet.VMID
	// Refusals is the number of consecutive attempts without a written byte.
	Refusals int
	// Rate is the share of failed attempts, weighted by age.
	Rate  float64
	Until time.Time
}

// notify calls the Notify function of the options, if any.
func (r *Router) notify(e Event) {
	if r.options.Notify != nil {
		r.options.Notify(e)
	}
}

// pick chooses a backend server of the pool and reports the start or end of
// spilling as an event.
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

// recordResult records the result of an attempt on a backend server. It reports an
// ejection, and the end of the limit after one, as events.
func (r *Router) recordResult(now time.Time, p *pool, b *backend, result Result) {
	onProbation := b.health.maxConcurrent > 0
	b.health.recordResult(now, result, b.vm.Slots)
	observed := b.health
	if result != ResultAnswered {
		p.ejectIfFailing(now, b, r.options.Ejection)
	}
	switch {
	case b.health.ejected(now):
		r.notify(Event{
			Kind: EventEjected, Pool: p.id, VM: b.vm.ID,
			Refusals: observed.refusals, Rate: observed.errorRate, Until: b.health.ejectedUntil,
		})
	case onProbation && b.health.maxConcurrent == 0:
		r.notify(Event{Kind: EventRestored, Pool: p.id, VM: b.vm.ID})
	}
}
