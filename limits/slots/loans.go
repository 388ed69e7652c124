package slots

import (
	"math/bits"
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
	idle := 0
	for _, w := range workers {
		if w.pool == r.Pool {
			idle += bits.OnesCount64(w.Idle())
		}
	}
	want := min(r.Count, (idle+1)/2)
	for len(reply.Slots) < want {
		for _, w := range workers {
			if w.pool == r.Pool && w.Idle() != 0 && len(reply.Slots) < want {
				reply.Slots = append(reply.Slots, l.lend(now, w, borrower))
			}
		}
	}
	return reply
}

func (l *Ledger) lend(now time.Time, w *Worker, borrower fleet.Member) Slot {
	index := bits.TrailingZeros64(w.Idle())
	w.lent |= 1 << index
	w.slots[index].peer = borrower
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
		w.slots[s.Index].peer = home
		l.arm(w, s.Index, end)
		accepted++
	}
	return accepted
}

// GiveBack removes the borrowed slots of a pool that no request holds and
// returns them by lender, for the caller to send.
func (l *Ledger) GiveBack(pool fleet.PoolID, workers []*Worker) map[fleet.MemberID][]Slot {
	var given map[fleet.MemberID][]Slot
	for _, w := range workers {
		if w.pool != pool {
			continue
		}
		each(w.borrowed&^w.busy, func(i int) {
			if given == nil {
				given = map[fleet.MemberID][]Slot{}
			}
			lender := w.slots[i].peer.ID
			given[lender] = append(given[lender], Slot{w.id, i})
			l.drop(w, i)
		})
	}
	return given
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
		w.slots[s.Index].vouched = max(w.slots[s.Index].vouched, r.View)
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
