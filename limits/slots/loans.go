package slots

import (
	"math/bits"
	"slices"
	"time"

	"peridotcrank.dev/fleet"
)

// Lend answers a peer's request with up to half of the idle slots of the given
// workers, rounded up, since the lender may need the others before the lease
// ends. Workers of other pools are passed over.
func (l *Ledger) Lend(now time.Time, r BorrowRequest, workers []*Worker) BorrowReply {
	reply := BorrowReply{Lease: l.options.Lease}
	borrower, ok := l.member(r.From)
	if !ok || r.View != l.view.Version || r.From == l.self.ID {
		return reply
	}
	workers = slices.DeleteFunc(slices.Clone(workers), func(w *Worker) bool { return w.gone || w.pool != r.Pool })
	idle := 0
	for _, w := range workers {
		idle += bits.OnesCount64(w.Idle())
	}
	want := min(r.Count, (idle+1)/2)
	for len(reply.Slots) < want {
		for _, w := range workers {
			if w.Idle() != 0 && len(reply.Slots) < want {
				reply.Slots = append(reply.Slots, l.lend(now, w, borrower))
			}
		}
	}
	return reply
}

func (l *Ledger) lend(now time.Time, w *Worker, borrower fleet.Member) Slot {
	index := bits.TrailingZeros64(w.Idle())
	w.lent |= 1 << index
	w.slots[index].peer = &borrower
	l.arm(w, index, now.Add(l.options.Lease+l.options.InFlight))
	return Slot{w.id, index}
}

// Borrow records the slots that a peer has lent in reply to a request sent at
// the time sent. It returns the number of slots that are usable.
func (l *Ledger) Borrow(now, sent time.Time, lender fleet.MemberID, r BorrowRequest, reply BorrowReply) int {
	end := sent.Add(min(reply.Lease, l.options.Lease))
	if r.View != l.view.Version || !end.After(now) {
		return 0
	}
	accepted := 0
	for _, s := range reply.Slots {
		home, ok := l.homes.Home(s)
		w := l.Worker(s.VM)
		if !ok || w == nil || home.ID != lender || home.ID == l.self.ID || w.pool != r.Pool {
			continue
		}
		w.borrowed |= 1 << s.Index
		w.slots[s.Index].peer = &home
		w.slots[s.Index].leased = end
		l.arm(w, s.Index, end)
		accepted++
	}
	return accepted
}

// GiveBack ends the leases of the borrowed slots of the given workers that no
// request holds. Returns then lists them.
func (l *Ledger) GiveBack(workers []*Worker) {
	for _, w := range workers {
		each(w.borrowed&^w.busy, func(i int) {
			l.drop(w, i)
			l.giveBack(w, i)
		})
	}
}

// pendingReturn is a borrowed slot to be given back.
type pendingReturn struct {
	lender fleet.MemberID
	slot   Slot
	// before is the time after which the return is not sent any more: it
	// could arrive when the lender has ended the loan by itself and has lent
	// the slot again.
	before time.Time
}

func (l *Ledger) giveBack(w *Worker, index int) {
	s := w.slots[index]
	l.returns = append(l.returns, pendingReturn{s.peer.ID, Slot{w.id, index}, s.leased.Add(l.options.InFlight / 2)})
}

// Returns returns, by lender, the borrowed slots that this process no longer
// uses, and forgets them. The caller sends them at once as ReturnRequest with
// View 0. A lost message keeps the slots from their home until the in-flight
// time after the lease has passed.
func (l *Ledger) Returns(now time.Time) map[fleet.MemberID][]Slot {
	if len(l.returns) == 0 {
		return nil
	}
	byLender := map[fleet.MemberID][]Slot{}
	for _, g := range l.returns {
		if now.Before(g.before) {
			byLender[g.lender] = append(byLender[g.lender], g.slot)
		}
	}
	l.returns = l.returns[:0]
	return byLender
}

// TakeBack accepts slots that a peer gives back or hands over. It reports
// whether a slot has become usable.
func (l *Ledger) TakeBack(r ReturnRequest) bool {
	freed := false
	for _, s := range r.Slots {
		w := l.workers[s.VM]
		if w == nil || s.Index < 0 || s.Index >= len(w.slots) {
			continue
		}
		if r.View == 0 {
			freed = l.endLoan(w, s.Index, r.From) || freed
			continue
		}
		w.slots[s.Index].releasedView = max(w.slots[s.Index].releasedView, r.View)
		freed = l.settle(w, s.Index) || freed
	}
	return freed
}

// endLoan ends the loan of a slot that its borrower has given back.
func (l *Ledger) endLoan(w *Worker, index int, from fleet.MemberID) bool {
	if w.lent&(1<<index) == 0 || w.slots[index].peer.ID != from {
		return false
	}
	l.drop(w, index)
	l.forget(w)
	return true
}

func (l *Ledger) member(id fleet.MemberID) (fleet.Member, bool) {
	i, ok := find(l.homes.members, id)
	if !ok {
		return fleet.Member{}, false
	}
	return l.homes.members[i].member, true
}
