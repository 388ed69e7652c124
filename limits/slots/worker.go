package slots

import (
	"math/bits"
	"time"

	"peridotcrank.dev/fleet"
)

// Worker is what a Ledger knows about the slots of one worker. Each field of
// flags has one bit per slot.
type Worker struct {
	id   fleet.VMID
	pool fleet.PoolID
	gone bool // The worker is not in the fleet view; it is kept while slots are busy or lent.

	// settled is the time at which slots gained by a change of zone become usable.
	settled time.Time

	mine        uint64 // Home is this process.
	waiting     uint64 // Subset of mine: the previous home may still use the slot.
	lent        uint64 // Subset of mine.
	borrowed    uint64 // Home is a peer that has lent the slot.
	busy        uint64 // Held by a request of this process.
	handoverDue uint64 // Lost while busy; handed over to the new home on release.
	returnDue   uint64 // The lease ended while busy; given back to the lender on release.

	slots []state
}

// state is the part of a slot's state that is not a flag.
type state struct {
	// until is the end of the wait, of the loan with its in-flight time, or of
	// the lease, depending on the flag that is set.
	until time.Time
	// peer is the borrower or the lender; nil while the slot was neither lent nor
	// borrowed. A member takes 72 bytes, and most slots have no peer.
	peer *fleet.Member
	// leased is the end of the latest lease from the peer.
	leased time.Time
	// gained is the version of the view with which the slot became mine.
	gained uint64
	// lostView and newHome are the version of the view with which the slot was lost,
	// and its home in that view.
	lostView uint64
	newHome  fleet.MemberID
	// releasedView is the version of the view with which a previous home has
	// confirmed that it no longer uses the slot.
	releasedView uint64
}

// ID returns the worker's VM.
func (w *Worker) ID() fleet.VMID { return w.id }

// Usable returns the slots that requests of this process may hold, busy or not.
func (w *Worker) Usable() uint64 { return w.mine&^w.waiting&^w.lent | w.borrowed }

// Free returns the slots that a request may take now.
func (w *Worker) Free() uint64 { return w.Usable() &^ w.busy }

// Busy returns the slots that requests of this process hold.
func (w *Worker) Busy() uint64 { return w.busy }

// Waiting returns the home slots that a former user may still use.
func (w *Worker) Waiting() uint64 { return w.waiting }

// Idle returns the home slots that could be lent.
func (w *Worker) Idle() uint64 { return w.mine &^ w.waiting &^ w.lent &^ w.busy }

// Lent returns the home slots lent to peers.
func (w *Worker) Lent() uint64 { return w.lent }

// Borrowed returns the slots borrowed from peers.
func (w *Worker) Borrowed() uint64 { return w.borrowed }

// grow makes room for the state of n slots.
func (w *Worker) grow(n int) {
	for len(w.slots) < n {
		w.slots = append(w.slots, state{})
	}
}

// each calls f with the index of each flag that is set.
func each(flags uint64, f func(index int)) {
	for ; flags != 0; flags &= flags - 1 {
		f(bits.TrailingZeros64(flags))
	}
}
