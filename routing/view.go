package routing

import (
	"slices"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/admission"
)

// SetView adopts a view of the fleet and of the members. Once it has returned,
// no VM that the snapshot does not list as routable gets a new request, and no
// slot is used whose home is now another member. A snapshot older than the
// present one and a member view that is not newer are ignored.
func (r *Router) SetView(s *fleet.Snapshot, members fleet.MemberView, self fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	r.ledger.SetMembers(now, members, self, r.continuous(now))
	moved := r.self.Zone != self.Zone
	r.self = self
	if members.Version == r.ledger.Version() {
		r.members = members.Members
	}
	if s != nil && s.Revision >= r.revision {
		r.revision = s.Revision
		r.setFleet(now, s)
	}
	for _, p := range r.pools {
		if moved {
			p.setNear(self.Zone)
		}
		r.forgetPeers(p, members)
		r.serve(now, p)
		r.schedule(now, p)
	}
	r.send(now)
}

// forgetPeers drops the reports of processes that are not members any more.
func (r *Router) forgetPeers(p *pool, members fleet.MemberView) {
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

// setFleet applies the differences between the present view and a snapshot. It
// compares all VMs unless the snapshot names those that differ.
func (r *Router) setFleet(now time.Time, s *fleet.Snapshot) {
	if d := s.Delta; d != nil && d.From == r.edition && r.edition > 0 {
		r.edition = d.To
		for _, id := range d.VMs {
			r.setVM(now, s, id)
		}
	} else {
		r.edition = 0
		if d != nil {
			r.edition = d.To
		}
		r.setAll(now, s)
	}
	r.forgetTallies()
}

func (r *Router) setAll(now time.Time, s *fleet.Snapshot) {
	for id := range r.backends {
		if _, ok := s.VMs[id]; !ok {
			r.setVM(now, s, id)
		}
	}
	for id := range s.VMs {
		r.setVM(now, s, id)
	}
}

// setVM takes over one VM from a snapshot, or removes it.
func (r *Router) setVM(now time.Time, s *fleet.Snapshot, id fleet.VMID) {
	vm, ok := s.VMs[id]
	b := r.backends[id]
	switch {
	case !ok && b == nil, ok && b != nil && b.vm == vm:
		return
	case !ok:
		r.place(b, b.vm, false)
		r.ledger.RemoveWorker(id)
		delete(r.backends, id)
		r.retired = append(r.retired, vmKey{b.vm.ID, b.vm.Generation})
		return
	case b == nil:
		b = &backend{leaving: r.leaving[id]}
		delete(r.leaving, id)
		r.backends[id] = b
	}
	b.worker = r.ledger.PutWorker(now, vm)
	r.place(b, vm, true)
}

// forgetTallies drops the tallies of ended stays that no request holds any more.
func (r *Router) forgetTallies() {
	r.retired = slices.DeleteFunc(r.retired, func(key vmKey) bool {
		t, b := r.tallies[key], r.backends[key.vm]
		if t == nil || b != nil && b.tally == t {
			return true
		}
		if t.inFlight == 0 {
			delete(r.tallies, key)
		}
		return t.inFlight == 0
	})
}

// place records a VM's row and moves its backend server between pools.
func (r *Router) place(b *backend, vm fleet.VM, present bool) {
	old := b.vm
	routed := b.routable()
	if b.present && (vm.Generation != old.Generation || vm.Address != old.Address) {
		b.health = health{}
	}
	if b.present && vm.Generation != old.Generation || vm.Phase != fleet.PhaseServing {
		// The report was about the stay that the row now shows as ended.
		b.leaving = false
	}
	if old.ID != "" && old.Generation != vm.Generation {
		r.retired = append(r.retired, vmKey{old.ID, old.Generation})
	}
	b.vm, b.present = vm, present
	b.tally = r.tallyOf(vmKey{vm.ID, vm.Generation})
	r.enlist(b, old.Pool, routed)
}

// enlist updates the pools after a change of the backend server.
func (r *Router) enlist(b *backend, old fleet.PoolID, routed bool) {
	if routed && (!b.routable() || b.vm.Pool != old) {
		r.pools[old].remove(b)
		r.pools[old].setNear(r.self.Zone)
		routed = false
	}
	if p := r.poolOf(b.vm.Pool); b.routable() && !routed {
		p.backends = append(p.backends, b)
		p.setNear(r.self.Zone)
	}
}

func (r *Router) tallyOf(key vmKey) *tally {
	t := r.tallies[key]
	if t == nil {
		t = &tally{}
		r.tallies[key] = t
	}
	return t
}

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

// ReportLeaving adds VMs whose backend servers are leaving. They get no new
// request until their row shows that the stay has ended (another phase than
// serving, or another generation) or ClearLeaving is called. A report about a
// VM that is not serving is ignored, since it is about the stay that ends.
// Callers must not repeat a report that was made before the VM's move.
func (r *Router) ReportLeaving(vms []fleet.VMID) { r.mark(vms, true) }

// ClearLeaving withdraws reports that turned out to be wrong.
func (r *Router) ClearLeaving(vms []fleet.VMID) { r.mark(vms, false) }

func (r *Router) mark(vms []fleet.VMID, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range vms {
		b := r.backends[id]
		switch {
		case b != nil && b.vm.Phase == fleet.PhaseServing:
			routed := b.routable()
			b.leaving = leaving
			r.enlist(b, b.vm.Pool, routed)
		case b == nil && leaving:
			r.leaving[id] = true
		case b == nil:
			delete(r.leaving, id)
		}
	}
	r.serveAll(r.options.Now())
}
