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
	view    fleet.MemberView
	self    fleet.Member
	// settled is the time at which a slot gained with the latest member view
	// becomes usable. It applies to workers that appear later, too, since
	// peers may know them under an older member view.
	settled time.Time
	timers  timers
	owed    map[fleet.MemberID][]Slot // Handovers by new home.
	given   []giving
}

// NewLedger returns a Ledger without workers and members.
func NewLedger(o Options) (*Ledger, error) {
	o = o.WithDefaults()
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return &Ledger{options: o, homes: NewHomes(), workers: map[fleet.VMID]*Worker{}, owed: map[fleet.MemberID][]Slot{}}, nil
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
	if w.owing&bit != 0 {
		w.owing &^= bit
		l.owe(Slot{w.id, index})
	}
	if w.overdue&bit != 0 {
		w.overdue &^= bit
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

// owe notes that a slot is to be handed to its new home.
func (l *Ledger) owe(s Slot) {
	if home, ok := l.homes.Home(s); ok && home.ID != l.self.ID {
		l.owed[home.ID] = append(l.owed[home.ID], s)
	}
}

// Handovers returns, by new home, the slots that this process has lost with a
// change of view and no longer uses, and forgets them. The caller sends them
// as ReturnRequest with the present Version, so that the new homes need not
// wait. Losing such a message costs time only.
func (l *Ledger) Handovers() map[fleet.MemberID][]Slot {
	if len(l.owed) == 0 {
		return nil
	}
	owed := l.owed
	l.owed = map[fleet.MemberID][]Slot{}
	return owed
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
	l.rehome(now, w, false)
	return w
}

// SetMembers adopts a member view; one that is not newer is ignored, unless
// this process has joined again. The process stops using the slots it loses at
// once. It uses a slot it gains when the previous home has handed it over, or
// when the previous home's view must have lapsed and its requests have ended.
//
// continuous tells that the caller observed its present view as valid within
// the last ObservationSlack. It matters when versions were skipped: a member
// may have joined, used a slot and left in between, so that a process whose
// view has lapsed must wait for all its slots.
func (l *Ledger) SetMembers(now time.Time, view fleet.MemberView, self fleet.Member, continuous bool) {
	joined := !isMember(l.view, self) || l.self.Incarnation != self.Incarnation
	if view.Version <= l.view.Version && !joined {
		return
	}
	first := l.view.Version == 0 && view.Version <= 1
	consecutive := view.Version == l.view.Version+1
	l.view, l.self = view, self
	l.homes.SetMembers(view.Members)
	l.settled = now.Add(l.wait(first, joined))
	lapsed := joined || !consecutive && !continuous
	for _, w := range l.workers {
		l.rehome(now, w, lapsed)
	}
}

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

// rehome compares a worker's slots with their homes. When lapsed is set,
// another process may have used any of them meanwhile.
func (l *Ledger) rehome(now time.Time, w *Worker, lapsed bool) {
	mine := l.homes.owned(w.id, l.self.ID)
	each(w.mine&^mine, func(i int) { l.lose(w, i, lapsed) })
	each(w.borrowed, func(i int) {
		if home, _ := l.homes.Home(Slot{w.id, i}); lapsed || home != *w.slots[i].peer {
			l.drop(w, i)
		}
	})
	gained := mine &^ w.mine
	if lapsed {
		gained = mine
	}
	w.mine = mine
	each(gained, func(i int) { l.gain(now, w, i) })
	each(w.waiting&^gained, func(i int) { l.settle(w, i) })
}

// lose stops the use of a slot whose home is now another process.
func (l *Ledger) lose(w *Worker, index int, lapsed bool) {
	bit := uint64(1) << index
	unused := !lapsed && (w.waiting|w.lent)&bit == 0
	w.mine &^= bit
	l.drop(w, index)
	switch {
	case !unused:
	case w.busy&bit != 0:
		w.owing |= bit
	default:
		l.owe(Slot{w.id, index})
	}
}

// drop clears the flags of a wait, a loan or a lease.
func (l *Ledger) drop(w *Worker, index int) {
	bit := uint64(1) << index
	w.waiting &^= bit
	w.lent &^= bit
	w.borrowed &^= bit
	w.overdue &^= bit
	w.slots[index].until = time.Time{}
}

// gain starts the wait for a slot whose home is now this process.
func (l *Ledger) gain(now time.Time, w *Worker, index int) {
	l.drop(w, index)
	w.owing &^= 1 << index
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
	if w.waiting&(1<<index) == 0 || s.vouched < s.gained || s.vouched > l.view.Version {
		return false
	}
	l.drop(w, index)
	return true
}
