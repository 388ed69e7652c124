package slots

import (
	"time"

	"peridotcrank.dev/fleet"
)

// ObservationSlack bounds the age of the caller's last observation that its
// view was valid, when it tells SetView that the view has not lapsed.
const ObservationSlack = time.Second

// Ledger is the state of the slots that one entry process may use. It is not
// safe for concurrent use. Calls must pass times that do not decrease.
type Ledger struct {
	options Options
	homes   *Homes
	workers map[fleet.VMID]*Worker
	adopted bool // A member view has been adopted.
	view    fleet.MemberView
	self    fleet.Member
	// settled is the time at which a slot gained with the latest member view
	// becomes usable. It applies to workers that appear later, too, since
	// peers may know them under an older member view.
	settled   time.Time
	timers    timers
	handovers []Handover
	returns   []pendingReturn
}

// NewLedger returns a Ledger without workers and members.
func NewLedger(o Options) (*Ledger, error) {
	o = o.WithDefaults()
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return &Ledger{options: o, homes: NewHomes(), workers: map[fleet.VMID]*Worker{}}, nil
}

// Version returns the version of the member view.
func (l *Ledger) Version() uint64 { return l.view.Version }

// Worker returns the slots of a worker, or nil when it is not in the view.
func (l *Ledger) Worker(id fleet.VMID) *Worker {
	if w := l.workers[id]; w != nil && !w.gone {
		return w
	}
	return nil
}

// Take marks a free slot as held by a request.
func (l *Ledger) Take(w *Worker, index int) { w.busy |= 1 << index }

// Release ends the use of a slot by a request.
func (l *Ledger) Release(w *Worker, index int) {
	bit := uint64(1) << index
	w.busy &^= bit
	if w.handoverDue&bit != 0 {
		w.handoverDue &^= bit
		l.handOver(w, index)
	}
	if w.returnDue&bit != 0 {
		w.returnDue &^= bit
		l.giveBack(w, index)
	}
	l.forget(w)
}

// forget removes a worker that is not in the view and whose slots no process
// uses on behalf of this one.
func (l *Ledger) forget(w *Worker) {
	if w.gone && w.busy == 0 && w.lent == 0 && l.workers[w.id] == w {
		delete(l.workers, w.id)
	}
}

// SetWorkers replaces the set of workers.
func (l *Ledger) SetWorkers(now time.Time, vms map[fleet.VMID]fleet.VM) {
	for id, w := range l.workers {
		if _, ok := vms[id]; !ok && !w.gone {
			l.RemoveWorker(id)
		}
	}
	for _, vm := range vms {
		l.PutWorker(now, vm)
	}
}

// RemoveWorker removes a worker. Requests that hold its slots still release them.
func (l *Ledger) RemoveWorker(id fleet.VMID) {
	if w := l.Worker(id); w != nil {
		l.removeWorker(w)
	}
}

func (l *Ledger) removeWorker(w *Worker) {
	l.homes.RemoveWorker(w.id)
	each(w.borrowed, func(i int) { l.drop(w, i) })
	w.gone = true
	l.forget(w)
}

// PutWorker adds a worker or changes its pool, zone and number of slots.
func (l *Ledger) PutWorker(now time.Time, vm fleet.VM) *Worker {
	n, id := min(max(vm.Slots, 0), MaxPerWorker), vm.ID
	w := l.workers[id]
	if w == nil {
		w = &Worker{id: id}
		l.workers[id] = w
	}
	w.pool, w.gone = vm.Pool, false
	row := l.homes.workers[id]
	if row != nil && row.zone == vm.Zone && len(row.homes) == n {
		return w
	}
	if row != nil && row.zone != vm.Zone {
		// Peers assign other homes until they see the new zone.
		w.settled = now.Add(l.wait(false, false))
	}
	w.grow(n)
	l.homes.PutWorker(id, vm.Zone, n)
	l.rehome(now, w, seen)
	return w
}

// SetMembers adopts a member view; one that is not newer is ignored. The
// process stops using the slots it loses at once. It uses a slot it gains when the previous home has handed it over, or
// when the previous home's view must have lapsed and its requests have ended.
//
// continuous tells that the caller observed its present view as valid within
// the last ObservationSlack. It matters when versions were skipped: a member
// may have joined, used a slot and left in between, so that a process whose
// view has lapsed must wait for all its slots.
func (l *Ledger) SetMembers(now time.Time, view fleet.MemberView, self fleet.Member, continuous bool) {
	if l.adopted && view.Version <= l.view.Version {
		return
	}
	joined := !isMember(l.view, self)
	first := !l.adopted && view.Version <= 1
	consecutive := view.Version == l.view.Version+1
	l.view, l.self, l.adopted = view, self, true
	l.homes.SetMembers(view.Members)
	l.settled = now.Add(l.wait(first, joined))
	m := seen
	switch {
	case joined || !consecutive && !continuous:
		m = lapsed
	case !consecutive:
		m = skipped
	}
	for _, w := range l.workers {
		l.rehome(now, w, m)
	}
}

// missed is what a process may have missed before it adopts a member view.
type missed uint8

const (
	// seen: nothing, each version was adopted.
	seen missed = iota
	// skipped: versions in between. A member that joined meanwhile may have
	// got the slots that this process was waiting for, and no others.
	skipped
	// lapsed: its own validity. Any slot may have been used by others.
	lapsed
)

// wait returns the time after which a gained slot is certainly unused. A
// member that joins waits longer, so that a process that has missed both its
// joining and its eviction stays within its own validity all the while. The
// first member of a site has no predecessor.
func (l *Ledger) wait(first, joined bool) time.Duration {
	expired := l.options.Validity + l.options.InFlight
	switch {
	case first:
		return 0
	case joined:
		return max(expired, 2*l.options.Validity+ObservationSlack)
	}
	return expired
}

func isMember(view fleet.MemberView, m fleet.Member) bool {
	for _, other := range view.Members {
		if other.ID == m.ID {
			return other.Incarnation == m.Incarnation
		}
	}
	return false
}

// rehome compares a worker's slots with their homes.
func (l *Ledger) rehome(now time.Time, w *Worker, m missed) {
	mine := l.homes.owned(w.id, l.self.ID)
	each(w.mine&^mine, func(i int) { l.lose(w, i, m) })
	each(w.borrowed, func(i int) {
		if home, _ := l.homes.Home(Slot{w.id, i}); m == lapsed || home != *w.slots[i].peer {
			l.drop(w, i)
		}
	})
	gained := mine &^ w.mine
	switch m {
	case skipped:
		gained |= mine & w.waiting
	case lapsed:
		gained = mine
	}
	w.mine = mine
	each(gained, func(i int) { l.gain(now, w, i) })
	each(w.waiting&^gained, func(i int) { l.settle(w, i) })
}

// lose stops the use of a slot whose home is now another process.
func (l *Ledger) lose(w *Worker, index int, m missed) {
	bit := uint64(1) << index
	home, known := l.homes.Home(Slot{w.id, index})
	w.slots[index].lostView, w.slots[index].newHome = l.view.Version, home.ID
	// A member that was removed in a version that it skipped knows nothing
	// about the home which that version gave to its slots.
	certain := m == seen || m == skipped && isMember(l.view, l.self)
	unused := known && certain && (w.waiting|w.lent)&bit == 0
	w.mine &^= bit
	l.drop(w, index)
	switch {
	case !unused:
	case w.busy&bit != 0:
		w.handoverDue |= bit
	default:
		l.handOver(w, index)
	}
}

// drop clears the flags of a wait, a loan or a lease.
func (l *Ledger) drop(w *Worker, index int) {
	bit := uint64(1) << index
	w.waiting &^= bit
	w.lent &^= bit
	w.borrowed &^= bit
	w.returnDue &^= bit
	w.slots[index].until = time.Time{}
}

// gain starts the wait for a slot whose home is now this process.
func (l *Ledger) gain(now time.Time, w *Worker, index int) {
	l.drop(w, index)
	w.handoverDue &^= 1 << index
	w.slots[index].gained = l.view.Version
	end := l.settled
	if w.settled.After(end) {
		end = w.settled
	}
	if !end.After(now) {
		return
	}
	w.waiting |= 1 << index
	l.arm(w, index, end)
	l.settle(w, index)
}

// settle ends the wait for a slot that its previous home has handed over.
func (l *Ledger) settle(w *Worker, index int) bool {
	s := &w.slots[index]
	if w.waiting&(1<<index) == 0 || s.releasedView < s.gained || s.releasedView > l.view.Version {
		return false
	}
	l.drop(w, index)
	return true
}
