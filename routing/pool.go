package routing

import (
	"math/bits"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/admission"
	"peridotcrank.dev/limits/slots"
)

// backend is a worker VM as the router sees it.
type backend struct {
	vm      fleet.VM
	worker  *slots.Worker
	leaving bool // Reported by ReportLeaving.
	present bool // In the fleet view.
	near    bool // In this process's zone, or its pool has no routable one there.
	health  health
	tally   *tally
}

// tally counts the reservations of one generation of a VM.
type tally struct{ inFlight int }

// vmKey identifies a VM during its stay in one pool.
type vmKey struct {
	vm         fleet.VMID
	generation uint64
}

// routable reports whether new requests may be sent to the backend server.
func (b *backend) routable() bool { return b.present && !b.leaving && b.vm.Routable() }

// pool is the state of one pool.
type pool struct {
	id       fleet.PoolID
	backends []*backend // Routable ones.
	queue    *admission.Queue[*waiter]
	spill    spill
	borrow   borrow
}

// usable returns the number of slots that this process may use.
func (p *pool) usable() int {
	n := 0
	for _, b := range p.backends {
		n += bits.OnesCount64(b.worker.Usable())
	}
	return n
}

// workers returns the slots of the backend servers, for lending and returning.
func (p *pool) workers(now time.Time) []*slots.Worker {
	var ws []*slots.Worker
	for _, b := range p.backends {
		if !b.health.ejected(now) {
			ws = append(ws, b.worker)
		}
	}
	return ws
}

// remove takes a backend server out of the pool.
func (p *pool) remove(b *backend) {
	for i, other := range p.backends {
		if other == b {
			last := len(p.backends) - 1
			p.backends[i], p.backends[last] = p.backends[last], nil
			p.backends = p.backends[:last]
			return
		}
	}
}

// setNear notes which backend servers are preferred by a process in the zone.
func (p *pool) setNear(zone fleet.ZoneID) {
	local := false
	for _, b := range p.backends {
		local = local || b.vm.Zone == zone
	}
	for _, b := range p.backends {
		b.near = !local || b.vm.Zone == zone
	}
}
