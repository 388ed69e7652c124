package routing

import (
	"math/bits"
	"time"

	"peridotcrank.dev/fleet"
)

// reservation implements Reservation.
type reservation struct {
	router  *Router
	pool    *pool
	backend *backend
	tally   *tally
	service fleet.ServiceName
	target  Target
	started time.Time
	done    bool
	invalid bool // Valid has reported false, so that a failure to send is our own.
}

func (h *reservation) Target() Target { return h.target }

// Valid implements Reservation. It checks the validity of the view, the VM's
// generation, phase and leaving mark, and that the slot is still this process's.
func (h *reservation) Valid() bool {
	r := h.router
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	b := h.backend
	valid := !h.done && r.valid(now) && b.routable() && b.vm.Generation == h.target.Generation &&
		b.worker.Usable()&(1<<h.target.Slot) != 0
	if !valid {
		h.invalid = true
	}
	return valid
}

// Done implements Reservation.
func (h *reservation) Done(result Result) { h.release(result, true) }

// cancel releases a reservation that was not used.
func (h *reservation) cancel() { h.release(ResultNotWritten, false) }

func (h *reservation) release(result Result, used bool) {
	r := h.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.done {
		return
	}
	h.done = true
	now := r.options.Now()
	r.ledger.Release(h.backend.worker, h.target.Slot)
	h.tally.inFlight--
	p := h.pool
	if used && !(h.invalid && result == ResultNotWritten) {
		h.observe(now, result)
	}
	r.serve(now, p)
	r.send(now)
}

// expiryEvidence is the number of usual service times after which an expired
// request counts against the backend server.
const expiryEvidence = 4

// observe records the result with the backend server's health and the
// service's times.
func (h *reservation) observe(now time.Time, result Result) {
	p, held := h.pool, now.Sub(h.started)
	usual := p.queue.ServiceTime(h.service)
	hung := result == ResultExpired && usual > 0 && held >= expiryEvidence*usual
	// A fast failure says nothing about the time that an answer takes, and one
	// hung backend server nothing about the others.
	if result == ResultAnswered || held > usual && !hung {
		p.queue.ObserveServiceTime(h.service, held)
	}
	if result == ResultExpired && !hung {
		return
	}
	b := h.backend
	if b.health.ejected(now) || b.vm.Generation != h.target.Generation {
		return
	}
	h.router.observe(now, p, b, result)
}

// reserve takes a free slot of a backend server.
func (r *Router) reserve(now time.Time, p *pool, b *backend, service fleet.ServiceName) *reservation {
	index := bits.TrailingZeros64(b.worker.Free())
	r.ledger.Take(b.worker, index)
	b.tally.inFlight++
	return &reservation{
		router: r, pool: p, backend: b, tally: b.tally, service: service, started: now,
		target: Target{
			VM: b.vm.ID, Generation: b.vm.Generation, Address: b.vm.Address,
			Rack: b.vm.Rack, Zone: b.vm.Zone, Slot: index,
		},
	}
}
