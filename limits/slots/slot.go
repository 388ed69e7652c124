package slots

import (
	"context"
	"time"

	"peridotcrank.dev/fleet"
)

// MaxPerWorker is the largest number of slots of one worker that a Ledger
// manages, since the slots of a worker are the bits of a uint64.
const MaxPerWorker = 64

// Slot identifies one slot of a worker.
type Slot struct {
	VM    fleet.VMID
	Index int
}

// BorrowRequest asks a peer to lend idle slots.
type BorrowRequest struct {
	// From is the borrower.
	From fleet.MemberID
	// ViewVersion is the version of the borrower's member view. A peer whose view
	// has another version lends nothing.
	ViewVersion uint64
	Pool        fleet.PoolID
	Count       int
}

// BorrowReply lists the slots that a peer has lent.
type BorrowReply struct {
	Slots []Slot
	// Lease is the duration of the loan. The borrower counts it from the time at
	// which it sent the request.
	Lease time.Duration
}

// ReturnRequest returns slots to their home. It is either a return of borrowed
// slots (ViewVersion is 0) or a handover of slots that the sender lost when the
// member view changed and no longer uses (ViewVersion is not 0). A transport that
// cannot carry ViewVersion must drop handovers: the receiver would treat one as a
// return and end a later loan of the same slot to the same member.
type ReturnRequest struct {
	// From is the sender.
	From fleet.MemberID
	// ViewVersion is Handover.ViewVersion, or 0 for a return.
	ViewVersion uint64
	Slots       []Slot
}

// Peers sends requests to other entry processes. Implementations must be safe
// for concurrent use.
type Peers interface {
	// Borrow asks a member to lend slots and returns its reply.
	Borrow(ctx context.Context, member fleet.MemberID, r BorrowRequest) (BorrowReply, error)
	// Return sends a return or a handover to a member.
	Return(ctx context.Context, member fleet.MemberID, r ReturnRequest) error
}
