package routing

import (
	"math/bits"
	"time"

	"peridotcrank.dev/fleet"
)

// reservation implements Reservation. The router's lock protects its fields.
type reservation struct {
	router       *Router
	pool         *pool
	backend      *backend
	counter      *counter
	service      fleet.ServiceName
	target       Target
	started      time.Time
	done         bool
	foundInvalid bool // Valid has returned false, so ResultNotWritten is not the backend server's fault.
}

func (res *reservation) Target() Target { return res.target }

// Valid implements Reservation. It checks the validity of the view, the VM's
// generation, phase and leaving mark, and that this process is still allowed to
// use the slot.
func (res *reservation) Valid() bool {
	r := res.router
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	b := res.backend
	valid := !res.done && r.viewValid(now) && b.routable() && b.vm.Generation == res.target.Generation &&
		b.worker.Usable()&(1<<res.target.Slot) != 0
	if !valid {
		res.foundInvalid = true
	}
	return valid
}

// Done implements Reservation. It gives the slot to a waiting request, if any.
func (res *reservation) Done(result Result) { res.release(result, true) }

// cancel releases a reservation that was not used, without recording a result.
func (res *reservation) cancel() { res.release(ResultNotWritten, false) }

// release frees the slot once. It records the result if the reservation was used, unless
// the request was not sent because Valid returned false.
func (res *reservation) release(result Result, used bool) {
	r := res.router
	r.mu.Lock()
	defer r.mu.Unlock()
	if res.done {
		return
	}
	res.done = true
	now := r.options.Now()
	r.ledger.Release(res.backend.worker, res.target.Slot)
	res.counter.inFlight--
	p := res.pool
	if used && !(res.foundInvalid && result == ResultNotWritten) {
		res.recordResult(now, result)
	}
	r.serveQueue(now, p)
	r.queueReturns(now)
}

// hungFactor is the number of typical service times after which an expired request
// counts as a failure of the backend server.
const hungFactor = 4

// recordResult records the result in the health of the backend server and the
// duration in the statistics of the service. It ignores the health of a backend
// server that is ejected or has another generation by now.
func (res *reservation) recordResult(now time.Time, result Result) {
	p, elapsed := res.pool, now.Sub(res.started)
	typical := p.queue.ServiceTime(res.service)
	hung := result == ResultExpired && typical > 0 && elapsed >= hungFactor*typical
	// Fast failures and requests to a hung backend server are left out, because
	// their durations do not represent the service time.
	if result == ResultAnswered || elapsed > typical && !hung {
		p.queue.ObserveServiceTime(res.service, elapsed)
	}
	if result == ResultExpired && !hung {
		return
	}
	b := res.backend
	if b.health.ejected(now) || b.vm.Generation != res.target.Generation {
		return
	}
	res.router.recordResult(now, p, b, result)
}

// reserve takes a free slot of the backend server, which must have one.
func (r *Router) reserve(now time.Time, p *pool, b *backend, service fleet.ServiceName) *reservation {
	index := bits.TrailingZeros64(b.worker.Free())
	r.ledger.Take(b.worker, index)
	b.counter.inFlight++
	return &reservation{
		router: r, pool: p, backend: b, counter: b.counter, service: service, started: now,
		target: Target{
			VM: b.vm.ID, Generation: b.vm.Generation, Address: b.vm.Address,
			Rack: b.vm.Rack, Zone: b.vm.Zone, Slot: index,
		},
	}
}
