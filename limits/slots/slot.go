package slots

import (
	"context"
	"time"

	"peridotcrank.dev/fleet"
)

// MaxPerWorker is the largest number of slots of one worker that a Ledger
// manages. A worker's slots are one machine word of flags.
const MaxPerWorker = 64

// Slot names one slot of a worker.
type Slot struct {
	VM    fleet.VMID
	Index int
}

// BorrowRequest asks a peer to lend idle slots.
type BorrowRequest struct {
	// From is the borrower.
	From fleet.MemberID
	// View is the version of the borrower's member view. A peer with another
	// view refuses.
	View  uint64
	Pool  fleet.PoolID
	Count int
}

// BorrowReply names the slots that a peer has lent.
type BorrowReply struct {
	Slots []Slot
	// Lease is the time for which the slots are lent. The borrower counts it
	// from the moment at which it sent the request.
	Lease time.Duration
}

// ReturnRequest gives slots to their home. It is either a return of borrowed
// slots (View is 0) or a handover of slots that the sender has lost through a
// change of the member view and no longer uses (View is not 0). A transport
// that cannot carry View must drop handovers: taken for a return, a handover
// would end a later loan of the same slot to the same member.
type ReturnRequest struct {
	// From is the sender.
	From fleet.MemberID
	// View is that of the Handover, or 0 for a return.
	View  uint64
	Slots []Slot
}

// Peers carries requests to other entry processes. Implementations must be
// safe for concurrent use.
type Peers interface {
	// Borrow asks a member to lend slots.
	Borrow(ctx context.Context, member fleet.MemberID, r BorrowRequest) (BorrowReply, error)
	// Return gives slots back to a member.
	Return(ctx context.Context, member fleet.MemberID, r ReturnRequest) error
}
