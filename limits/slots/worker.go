package slots

import (
	"math/bits"
	"time"

	"peridotcrank.dev/fleet"
)

// Worker holds what a Ledger knows about the slots of one worker. Each uint64
// has one bit per slot.
type Worker struct {
	id      fleet.VMID
	pool    fleet.PoolID
	removed bool // The worker is not in the fleet view. Its state is kept while slots are busy or lent.

	// gainsUsableAt is the time at which the slots gained when the worker changed
	// its zone become usable.
	gainsUsableAt time.Time

	owned           uint64 // Slots whose home is this process.
	awaitingRelease uint64 // Subset of owned: the previous home may still use the slot.
	lent            uint64 // Subset of owned: lent to a peer.
	borrowed        uint64 // Slots lent by the peer that is their home.
	busy            uint64 // Held by a request of this process.
	handoverDue     uint64 // Lost while busy: to be handed over to the new home on release.
	returnDue       uint64 // The lease ended while busy: to be returned to the lender on release.

	states []slotState
}

// slotState is the state of a slot apart from its flags.
type slotState struct {
	// expiresAt depends on the flag that is set: the end of the wait for the
	// release (awaitingRelease), of the loan including the in-flight time (lent),
	// or of the lease (borrowed).
	expiresAt time.Time
	// peer is the latest borrower or lender, or nil when the slot was never lent
	// or borrowed. It is a pointer because a member takes 72 bytes and most slots
	// have no peer.
	peer *fleet.Member
	// leaseEnd is the end of the latest lease of the slot from the peer.
	leaseEnd time.Time
	// gainedVersion is the version of the member view in which this process became
	// the home.
	gainedVersion uint64
	// lostVersion is the version of the member view in which this process lost the
	// slot, and newHome is the home in that view.
	lostVersion uint64
	newHome     fleet.MemberID
	// releasedVersion is the highest view version of the handovers in which a
	// previous home has confirmed that it no longer uses the slot.
	releasedVersion uint64
}

// ID returns the ID of the VM that runs the worker.
func (w *Worker) ID() fleet.VMID { return w.id }

// Usable returns the slots that this process may use, including those that its
// requests hold.
func (w *Worker) Usable() uint64 { return w.owned&^w.awaitingRelease&^w.lent | w.borrowed }

// Free returns the usable slots that no request holds.
func (w *Worker) Free() uint64 { return w.Usable() &^ w.busy }

// Busy returns the slots that requests of this process hold.
func (w *Worker) Busy() uint64 { return w.busy }

// AwaitingRelease returns the slots whose home is this process and which a
// previous home may still use.
func (w *Worker) AwaitingRelease() uint64 { return w.awaitingRelease }

// Idle returns the free slots whose home is this process, which it can lend.
func (w *Worker) Idle() uint64 { return w.owned &^ w.awaitingRelease &^ w.lent &^ w.busy }

// Lent returns the slots whose home is this process and which a peer has borrowed.
func (w *Worker) Lent() uint64 { return w.lent }

// Borrowed returns the slots borrowed from peers.
func (w *Worker) Borrowed() uint64 { return w.borrowed }

// growStates extends the slot states to at least n.
func (w *Worker) growStates(n int) {
	for len(w.states) < n {
		w.states = append(w.states, slotState{})
	}
}

// forEachFlag calls f with the index of each bit that is set.
func forEachFlag(flags uint64, f func(index int)) {
	for ; flags != 0; flags &= flags - 1 {
		f(bits.TrailingZeros64(flags))
	}
}
