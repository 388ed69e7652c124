package routing

import (
	"slices"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/admission"
)

// SetView adopts a fleet snapshot and a member view. After it has returned, no
// VM that the snapshot does not list as routable gets a new request, and no slot
// is used whose home is now another member. A snapshot older than the current
// one is ignored, and so is a member view that is not newer than the current one.
func (r *Router) SetView(s *fleet.Snapshot, members fleet.MemberView, self fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	r.ledger.SetMembers(now, members, self, r.continuouslyValid(now))
	zoneChanged := r.self.Zone != self.Zone
	r.self = self
	if members.Version == r.ledger.Version() {
		r.members = members.Members
	}
	if s != nil && s.Revision >= r.revision {
		r.revision = s.Revision
		r.setFleet(now, s)
	}
	for _, p := range r.pools {
		if zoneChanged {
			p.setZoneLocal(self.Zone)
		}
		r.pruneIdleReports(p, members)
		r.serveQueue(now, p)
		r.scheduleTimer(now, p)
	}
	r.queueReturns(now)
}

// pruneIdleReports removes the reports of processes that are no longer members.
func (r *Router) pruneIdleReports(p *pool, members fleet.MemberView) {
	present := map[fleet.MemberID]bool{}
	for _, m := range members.Members {
		present[m.ID] = true
	}
	for id := range p.borrow.idle {
		if !present[id] {
			delete(p.borrow.idle, id)
		}
	}
}

// setFleet applies the differences between the current fleet and a snapshot. It
// compares all VMs unless the snapshot's delta follows the last adopted snapshot.
func (r *Router) setFleet(now time.Time, s *fleet.Snapshot) {
	if d := s.Delta; d != nil && d.From == r.deltaVersion && r.deltaVersion > 0 {
		r.deltaVersion = d.To
		for _, id := range d.VMs {
			r.setVM(now, s, id)
		}
	} else {
		r.deltaVersion = 0
		if d != nil {
			r.deltaVersion = d.To
		}
		r.setAllVMs(now, s)
	}
	r.pruneCounters()
}

// setAllVMs updates all VMs from a snapshot and removes those that it lacks.
func (r *Router) setAllVMs(now time.Time, s *fleet.Snapshot) {
	for id := range r.backends {
		if _, ok := s.VMs[id]; !ok {
			r.setVM(now, s, id)
		}
	}
	for id := range s.VMs {
		r.setVM(now, s, id)
	}
}

// setVM updates one VM from a snapshot, or removes it if the snapshot lacks it.
func (r *Router) setVM(now time.Time, s *fleet.Snapshot, id fleet.VMID) {
	vm, ok := s.VMs[id]
	b := r.backends[id]
	switch {
	case !ok && b == nil, ok && b != nil && b.vm == vm:
		return
	case !ok:
		r.updateBackend(b, b.vm, false)
		r.ledger.RemoveWorker(id)
		delete(r.backends, id)
		r.retiredCounters = append(r.retiredCounters, vmKey{b.vm.ID, b.vm.Generation})
		return
	case b == nil:
		b = &backend{leaving: r.leaving[id]}
		delete(r.leaving, id)
		r.backends[id] = b
	}
	b.worker = r.ledger.PutWorker(now, vm)
	r.updateBackend(b, vm, true)
}

// pruneCounters removes the counters of former VM generations that have no
// reservation left.
func (r *Router) pruneCounters() {
	r.retiredCounters = slices.DeleteFunc(r.retiredCounters, func(key vmKey) bool {
		c, b := r.counters[key], r.backends[key.vm]
		if c == nil || b != nil && b.counter == c {
			return true
		}
		if c.inFlight == 0 {
			delete(r.counters, key)
		}
		return c.inFlight == 0
	})
}

// updateBackend stores a VM's row in its backend server, resets what referred to a
// former generation or address, and moves the backend server between pools.
func (r *Router) updateBackend(b *backend, vm fleet.VM, inView bool) {
	old := b.vm
	wasRoutable := b.routable()
	if b.inView && (vm.Generation != old.Generation || vm.Address != old.Address) {
		b.health = health{}
	}
	if b.inView && vm.Generation != old.Generation || vm.Phase != fleet.PhaseServing {
		// The report concerned an assignment that has ended according to this row.
		b.leaving = false
	}
	if old.ID != "" && old.Generation != vm.Generation {
		r.retiredCounters = append(r.retiredCounters, vmKey{old.ID, old.Generation})
	}
	b.vm, b.inView = vm, inView
	b.counter = r.counterFor(vmKey{vm.ID, vm.Generation})
	r.updatePools(b, old.Pool, wasRoutable)
}

// updatePools adds the backend server to its pool, or removes it from oldPool,
// after a change. wasRoutable tells whether it was in oldPool.
func (r *Router) updatePools(b *backend, oldPool fleet.PoolID, wasRoutable bool) {
	if wasRoutable && (!b.routable() || b.vm.Pool != oldPool) {
		r.pools[oldPool].remove(b)
		r.pools[oldPool].setZoneLocal(r.self.Zone)
		wasRoutable = false
	}
	if p := r.poolOf(b.vm.Pool); b.routable() && !wasRoutable {
		p.backends = append(p.backends, b)
		p.setZoneLocal(r.self.Zone)
	}
}

// counterFor returns the counter of a VM generation and creates it if necessary.
func (r *Router) counterFor(key vmKey) *counter {
	c := r.counters[key]
	if c == nil {
		c = &counter{}
		r.counters[key] = c
	}
	return c
}

// poolOf returns a pool and creates it if necessary.
func (r *Router) poolOf(id fleet.PoolID) *pool {
	p := r.pools[id]
	if p == nil {
		// The options were validated by New.
		queue, _ := admission.New[*waiter](r.options.Admission)
		p = &pool{id: id, queue: queue, spill: spill{options: r.options.Spill}, borrow: newBorrow()}
		r.pools[id] = p
	}
	return p
}

// ReportLeaving marks VMs whose backend servers are leaving their pool. They get
// no new request until their row shows that the assignment has ended (another
// phase than serving, or another generation) or ClearLeaving is called. A report
// about a VM that is not serving is ignored, because it concerns the assignment
// that is already ending. Callers must not repeat a report that was made before
// the VM's move.
func (r *Router) ReportLeaving(vms []fleet.VMID) { r.setLeaving(vms, true) }

// ClearLeaving removes the marks of ReportLeaving after a wrong report.
func (r *Router) ClearLeaving(vms []fleet.VMID) { r.setLeaving(vms, false) }

// setLeaving sets or clears the leaving mark. For VMs that are not in the fleet view yet
// it stores the mark until they are.
func (r *Router) setLeaving(vms []fleet.VMID, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range vms {
		b := r.backends[id]
		switch {
		case b != nil && b.vm.Phase == fleet.PhaseServing:
			wasRoutable := b.routable()
			b.leaving = leaving
			r.updatePools(b, b.vm.Pool, wasRoutable)
		case b == nil && leaving:
			r.leaving[id] = true
		case b == nil:
			delete(r.leaving, id)
		}
	}
	r.serveAllQueues(r.options.Now())
}
