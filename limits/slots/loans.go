package slots

import (
	"math/bits"
	"slices"
	"time"

	"peridotcrank.dev/fleet"
)

// Lend answers a peer's request with up to half of the idle slots of the given
// workers, rounded up, since this process may need the others before the lease
// ends. Workers of other pools are ignored. The reply lists no slots when the
// borrower is not a member or has another member view.
func (l *Ledger) Lend(now time.Time, r BorrowRequest, workers []*Worker) BorrowReply {
	reply := BorrowReply{Lease: l.options.Lease}
	borrower, ok := l.member(r.From)
	if !ok || r.ViewVersion != l.view.Version || r.From == l.self.ID {
		return reply
	}
	workers = slices.DeleteFunc(slices.Clone(workers), func(w *Worker) bool { return w.removed || w.pool != r.Pool })
	idle := 0
	for _, w := range workers {
		idle += bits.OnesCount64(w.Idle())
	}
	want := min(r.Count, (idle+1)/2)
	for len(reply.Slots) < want {
		for _, w := range workers {
			if w.Idle() != 0 && len(reply.Slots) < want {
				reply.Slots = append(reply.Slots, l.lendSlot(now, w, borrower))
			}
		}
	}
	return reply
}

// lendSlot lends the first idle slot of a worker. The loan ends after the lease
// and the in-flight time.
func (l *Ledger) lendSlot(now time.Time, w *Worker, borrower fleet.Member) Slot {
	index := bits.TrailingZeros64(w.Idle())
	w.lent |= 1 << index
	w.states[index].peer = &borrower
	l.setExpiry(w, index, now.Add(l.options.Lease+l.options.InFlightTime))
	return Slot{w.id, index}
}

// AcceptLoan records the slots that a peer has lent in reply to a request that
// was sent at the time sent. It returns the number of slots that it accepted; it
// accepts none when the lease has ended or the member view has changed.
func (l *Ledger) AcceptLoan(now, sent time.Time, lender fleet.MemberID, r BorrowRequest, reply BorrowReply) int {
	end := sent.Add(min(reply.Lease, l.options.Lease))
	if r.ViewVersion != l.view.Version || !end.After(now) {
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
		w.states[s.Index].peer = &home
		w.states[s.Index].leaseEnd = end
		l.setExpiry(w, s.Index, end)
		accepted++
	}
	return accepted
}

// ReturnUnused ends the leases of the borrowed slots of the given workers that no
// request holds. DrainReturns then lists these slots.
func (l *Ledger) ReturnUnused(workers []*Worker) {
	for _, w := range workers {
		forEachFlag(w.borrowed&^w.busy, func(i int) {
			l.clearExpiring(w, i)
			l.queueReturn(w, i)
		})
	}
}

// pendingReturn is a borrowed slot to be returned to its lender.
type pendingReturn struct {
	lender fleet.MemberID
	slot   Slot
	// sendBefore is the time from which the return is no longer sent: it could
	// arrive after the loan has ended at the lender and the lender has lent the
	// slot again.
	sendBefore time.Time
}

// queueReturn adds a borrowed slot to the returns that DrainReturns lists.
func (l *Ledger) queueReturn(w *Worker, index int) {
	s := w.states[index]
	l.returns = append(l.returns, pendingReturn{s.peer.ID, Slot{w.id, index}, s.leaseEnd.Add(l.options.InFlightTime / 2)})
}

// DrainReturns returns the borrowed slots that this process no longer uses, by
// lender, and clears them. The caller sends them at once as ReturnRequests with
// ViewVersion 0. When a message is lost, the home can use the slots only after
// the lease and the in-flight time have passed.
func (l *Ledger) DrainReturns(now time.Time) map[fleet.MemberID][]Slot {
	if len(l.returns) == 0 {
		return nil
	}
	byLender := map[fleet.MemberID][]Slot{}
	for _, pending := range l.returns {
		if now.Before(pending.sendBefore) {
			byLender[pending.lender] = append(byLender[pending.lender], pending.slot)
		}
	}
	l.returns = l.returns[:0]
	return byLender
}

// AcceptReturn records slots that a peer returns or hands over. It returns true
// when a slot has become usable.
func (l *Ledger) AcceptReturn(r ReturnRequest) bool {
	freed := false
	for _, s := range r.Slots {
		w := l.workers[s.VM]
		if w == nil || s.Index < 0 || s.Index >= len(w.states) {
			continue
		}
		if r.ViewVersion == 0 {
			freed = l.endLoan(w, s.Index, r.From) || freed
			continue
		}
		w.states[s.Index].releasedVersion = max(w.states[s.Index].releasedVersion, r.ViewVersion)
		freed = l.endWaitIfReleased(w, s.Index) || freed
	}
	return freed
}

// endLoan ends the loan of a slot that its borrower has returned. It returns false
// when the slot is not lent to that member.
func (l *Ledger) endLoan(w *Worker, index int, from fleet.MemberID) bool {
	if w.lent&(1<<index) == 0 || w.states[index].peer.ID != from {
		return false
	}
	l.clearExpiring(w, index)
	l.deleteIfUnused(w)
	return true
}

// member returns the member with the ID in the current view.
func (l *Ledger) member(id fleet.MemberID) (fleet.Member, bool) {
	i, ok := findMember(l.homes.members, id)
	if !ok {
		return fleet.Member{}, false
	}
	return l.homes.members[i].member, true
}
