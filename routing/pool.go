package routing

import (
	"math/bits"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/admission"
	"peridotcrank.dev/limits/slots"
)

// backend is the router's state of one worker VM.
type backend struct {
	vm        fleet.VM
	worker    *slots.Worker
	leaving   bool // Marked by ReportLeaving.
	inView    bool // In the fleet view.
	zoneLocal bool // In this process's zone, or no routable backend server of the pool is.
	health    health
	counter   *counter
}

// counter counts the reservations of one generation of a VM.
type counter struct{ inFlight int }

// vmKey identifies one assignment of a VM to a pool.
type vmKey struct {
	vm         fleet.VMID
	generation uint64
}

// routable reports whether new requests may be sent to the backend server.
func (b *backend) routable() bool { return b.inView && !b.leaving && b.vm.Routable() }

// pool is the router's state of one pool: its backend servers and waiting requests.
type pool struct {
	id       fleet.PoolID
	backends []*backend // Only routable backend servers.
	queue    *admission.Queue[*waiter]
	spill    spill
	borrow   borrow
}

// usableSlots returns the number of slots that this process is allowed to use.
func (p *pool) usableSlots() int {
	n := 0
	for _, b := range p.backends {
		n += bits.OnesCount64(b.worker.Usable())
	}
	return n
}

// availableWorkers returns the slots of the backend servers that are not ejected.
func (p *pool) availableWorkers(now time.Time) []*slots.Worker {
	var workers []*slots.Worker
	for _, b := range p.backends {
		if !b.health.ejected(now) {
			workers = append(workers, b.worker)
		}
	}
	return workers
}

// remove removes a backend server from the pool and does not keep the order.
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

// setZoneLocal marks the backend servers in the zone as local, or all backend
// servers if the pool has none in the zone.
func (p *pool) setZoneLocal(zone fleet.ZoneID) {
	anyLocal := false
	for _, b := range p.backends {
		anyLocal = anyLocal || b.vm.Zone == zone
	}
	for _, b := range p.backends {
		b.zoneLocal = !anyLocal || b.vm.Zone == zone
	}
}
