package slots

import (
	"time"

	"peridotcrank.dev/fleet"
)

// MaxObservationAge is the longest time since the caller last observed its member
// view as valid for which it may pass viewStillValid to SetMembers.
const MaxObservationAge = time.Second

// Ledger tracks the slots that one entry process owns, lends and borrows. It is
// not safe for concurrent use. The times passed to its methods must not decrease.
type Ledger struct {
	options Options
	homes   *Homes
	workers map[fleet.VMID]*Worker
	hasView bool // A member view has been adopted.
	view    fleet.MemberView
	self    fleet.Member
	// gainsUsableAt is the time at which slots gained in the latest member view
	// become usable. It also applies to workers added later, since peers may
	// already use them under an older member view.
	gainsUsableAt time.Time
	timers        timers
	handovers     []Handover
	returns       []pendingReturn
}

// NewLedger returns a Ledger without workers and members, or an error when the
// options are invalid.
func NewLedger(o Options) (*Ledger, error) {
	o = o.WithDefaults()
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return &Ledger{options: o, homes: NewHomes(), workers: map[fleet.VMID]*Worker{}}, nil
}

// Version returns the version of the adopted member view, or 0 before the first.
func (l *Ledger) Version() uint64 { return l.view.Version }

// Worker returns the slots of a worker, or nil when it is not in the fleet view.
func (l *Ledger) Worker(id fleet.VMID) *Worker {
	if w := l.workers[id]; w != nil && !w.removed {
		return w
	}
	return nil
}

// Take marks a free slot as held by a request of this process.
func (l *Ledger) Take(w *Worker, index int) { w.busy |= 1 << index }

// Release marks a slot as no longer held by a request. It queues the handover or
// the return that was due while the request ran.
func (l *Ledger) Release(w *Worker, index int) {
	bit := uint64(1) << index
	w.busy &^= bit
	if w.handoverDue&bit != 0 {
		w.handoverDue &^= bit
		l.queueHandover(w, index)
	}
	if w.returnDue&bit != 0 {
		w.returnDue &^= bit
		l.queueReturn(w, index)
	}
	l.deleteIfUnused(w)
}

// deleteIfUnused deletes the state of a removed worker when no request of this
// process and no borrower uses its slots.
func (l *Ledger) deleteIfUnused(w *Worker) {
	if w.removed && w.busy == 0 && w.lent == 0 && l.workers[w.id] == w {
		delete(l.workers, w.id)
	}
}

// SetWorkers adds, changes and removes workers so that the set equals vms.
func (l *Ledger) SetWorkers(now time.Time, vms map[fleet.VMID]fleet.VM) {
	for id, w := range l.workers {
		if _, ok := vms[id]; !ok && !w.removed {
			l.RemoveWorker(id)
		}
	}
	for _, vm := range vms {
		l.PutWorker(now, vm)
	}
}

// RemoveWorker removes a worker. Requests that hold its slots must still call
// Release.
func (l *Ledger) RemoveWorker(id fleet.VMID) {
	if w := l.Worker(id); w != nil {
		l.removeWorker(w)
	}
}

// removeWorker removes a worker and its homes, and ends the leases of its borrowed
// slots without returning them.
func (l *Ledger) removeWorker(w *Worker) {
	l.homes.RemoveWorker(w.id)
	forEachFlag(w.borrowed, func(i int) { l.clearExpiring(w, i) })
	w.removed = true
	l.deleteIfUnused(w)
}

// PutWorker adds a worker or changes its pool, zone and number of slots. It
// manages at most MaxPerWorker slots.
func (l *Ledger) PutWorker(now time.Time, vm fleet.VM) *Worker {
	n, id := min(max(vm.Slots, 0), MaxPerWorker), vm.ID
	w := l.workers[id]
	if w == nil {
		w = &Worker{id: id}
		l.workers[id] = w
	}
	w.pool, w.removed = vm.Pool, false
	row := l.homes.workers[id]
	if row != nil && row.zone == vm.Zone && len(row.homes) == n {
		return w
	}
	if row != nil && row.zone != vm.Zone {
		// Peers that have not seen the new zone yet compute other homes.
		w.gainsUsableAt = now.Add(l.gainDelay(false, false))
	}
	w.growStates(n)
	l.homes.PutWorker(id, vm.Zone, n)
	l.updateOwnership(now, w, noGap)
	return w
}

// SetMembers adopts a member view. A view that is not newer is ignored. The
// process stops using the slots that it loses at once. It uses a slot that it
// gains as soon as the previous home has handed it over, or after the time at
// which the validity of the previous home's view has lapsed and its requests have ended.
//
// viewStillValid tells that the caller observed its present view as valid within
// the last MaxObservationAge. It matters when versions were skipped: a member may
// have joined, used a slot and left in between, so a process whose validity
// has lapsed must wait for the release of all its slots.
func (l *Ledger) SetMembers(now time.Time, view fleet.MemberView, self fleet.Member, viewStillValid bool) {
	if l.hasView && view.Version <= l.view.Version {
		return
	}
	joined := !isMember(l.view, self)
	firstView := !l.hasView && view.Version <= 1
	consecutive := view.Version == l.view.Version+1
	l.view, l.self, l.hasView = view, self, true
	l.homes.SetMembers(view.Members)
	l.gainsUsableAt = now.Add(l.gainDelay(firstView, joined))
	gap := noGap
	switch {
	case joined || !consecutive && !viewStillValid:
		gap = lapsedValidity
	case !consecutive:
		gap = skippedVersions
	}
	for _, w := range l.workers {
		l.updateOwnership(now, w, gap)
	}
}

// viewGap tells what a process may have missed between its previous member view
// and the one that it adopts.
type viewGap uint8

const (
	// noGap: no version was skipped.
	noGap viewGap = iota
	// skippedVersions: versions were skipped while the view stayed valid. A member
	// that joined in between may have got only slots that were awaiting release.
	skippedVersions
	// lapsedValidity: the validity may have lapsed in between. Other processes may
	// have used any slot.
	lapsedValidity
)

// gainDelay returns the time after which no other process can still use a gained
// slot. It is 0 for the first member view of a site, since no slot had a home
// before. A process that joins waits longer: a peer that has missed both its join
// and its later eviction thus stays within the validity of its own view during
// the whole wait.
func (l *Ledger) gainDelay(firstView, joined bool) time.Duration {
	expiry := l.options.ViewValidity + l.options.InFlightTime
	switch {
	case firstView:
		return 0
	case joined:
		return max(expiry, 2*l.options.ViewValidity+MaxObservationAge)
	}
	return expiry
}

// isMember reports whether the view holds the member with the same incarnation.
func isMember(view fleet.MemberView, m fleet.Member) bool {
	for _, other := range view.Members {
		if other.ID == m.ID {
			return other.Incarnation == m.Incarnation
		}
	}
	return false
}

// updateOwnership computes which slots of a worker this process owns, and handles
// the slots lost and gained. Depending on the gap, it also waits for the release
// of slots that it owned before.
func (l *Ledger) updateOwnership(now time.Time, w *Worker, gap viewGap) {
	owned := l.homes.ownedBy(w.id, l.self.ID)
	forEachFlag(w.owned&^owned, func(i int) { l.loseSlot(w, i, gap) })
	forEachFlag(w.borrowed, func(i int) {
		if home, _ := l.homes.Home(Slot{w.id, i}); gap == lapsedValidity || home != *w.states[i].peer {
			l.clearExpiring(w, i)
		}
	})
	gained := owned &^ w.owned
	switch gap {
	case skippedVersions:
		gained |= owned & w.awaitingRelease
	case lapsedValidity:
		gained = owned
	}
	w.owned = owned
	forEachFlag(gained, func(i int) { l.gainSlot(now, w, i) })
	forEachFlag(w.awaitingRelease&^gained, func(i int) { l.endWaitIfReleased(w, i) })
}

// loseSlot stops the use of a slot whose home is now another process. It hands
// the slot over, at once or on release, when certainly no other process uses it.
func (l *Ledger) loseSlot(w *Worker, index int, gap viewGap) {
	bit := uint64(1) << index
	home, hasHome := l.homes.Home(Slot{w.id, index})
	w.states[index].lostVersion, w.states[index].newHome = l.view.Version, home.ID
	// A process that was removed from the view in a version that it skipped doesn't
	// know which home its slots got in that version.
	historyKnown := gap == noGap || gap == skippedVersions && isMember(l.view, l.self)
	unusedByOthers := hasHome && historyKnown && (w.awaitingRelease|w.lent)&bit == 0
	w.owned &^= bit
	l.clearExpiring(w, index)
	switch {
	case !unusedByOthers:
	case w.busy&bit != 0:
		w.handoverDue |= bit
	default:
		l.queueHandover(w, index)
	}
}

// clearExpiring ends the wait for a release, the loan or the lease of a slot
// without a return.
func (l *Ledger) clearExpiring(w *Worker, index int) {
	bit := uint64(1) << index
	w.awaitingRelease &^= bit
	w.lent &^= bit
	w.borrowed &^= bit
	w.returnDue &^= bit
	w.states[index].expiresAt = time.Time{}
}

// gainSlot starts the wait for the release of a slot whose home is now this
// process. Without a wait the slot is usable at once.
func (l *Ledger) gainSlot(now time.Time, w *Worker, index int) {
	l.clearExpiring(w, index)
	w.handoverDue &^= 1 << index
	w.states[index].gainedVersion = l.view.Version
	end := l.gainsUsableAt
	if w.gainsUsableAt.After(end) {
		end = w.gainsUsableAt
	}
	if !end.After(now) {
		return
	}
	w.awaitingRelease |= 1 << index
	l.setExpiry(w, index, end)
	l.endWaitIfReleased(w, index)
}

// endWaitIfReleased ends the wait for a slot when a previous home has handed it
// over since this process became its home. It reports whether the wait has ended.
func (l *Ledger) endWaitIfReleased(w *Worker, index int) bool {
	s := &w.states[index]
	if w.awaitingRelease&(1<<index) == 0 || s.releasedVersion < s.gainedVersion || s.releasedVersion > l.view.Version {
		return false
	}
	l.clearExpiring(w, index)
	return true
}
