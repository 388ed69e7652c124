package peering

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/slots"
	"peridotcrank.dev/peer"
	"peridotcrank.dev/peer/peerpb"
)

// Lender lends slots to other members.
type Lender interface {
	// Lend lends up to the requested number of slots.
	Lend(q slots.BorrowRequest) slots.BorrowReply
	// TakeBack accepts slots that a borrower returns.
	TakeBack(q slots.ReturnRequest)
}

// Borrow implements slots.Peers.
func (p *Peers) Borrow(ctx context.Context, member fleet.MemberID, r slots.BorrowRequest) (slots.BorrowReply, error) {
	reply, err := callControl[*peerpb.SlotBorrowReply](ctx, p, member, &peerpb.SlotBorrow{
		ViewVersion: r.ViewVersion, Pool: string(r.Pool), Count: uint32(r.Count),
	})
	if err != nil {
		return slots.BorrowReply{}, err
	}
	return slots.BorrowReply{
		Slots: decodeSlots(reply.GetSlots()), Lease: time.Duration(reply.GetLeaseMs()) * time.Millisecond,
	}, nil
}

// Return implements slots.Peers.
func (p *Peers) Return(ctx context.Context, member fleet.MemberID, r slots.ReturnRequest) error {
	_, err := callControl[*peerpb.Ack](ctx, p, member, &peerpb.SlotReturn{Slots: encodeSlots(r.Slots), ViewVersion: r.ViewVersion})
	return err
}

// ServeSlots registers the handlers that lend slots to peers. The borrower is
// identified by its session. Call it before node.Start.
func ServeSlots(node *peer.Node, lender Lender) {
	peer.Handle(node, func(_ context.Context, from peer.Sender, m *peerpb.SlotBorrow) (proto.Message, error) {
		reply := lender.Lend(slots.BorrowRequest{
			From: from.Member, ViewVersion: m.GetViewVersion(), Pool: fleet.PoolID(m.GetPool()), Count: int(m.GetCount()),
		})
		// The lease is rounded down to milliseconds, so that the borrower stops using
		// the slots early rather than late.
		return &peerpb.SlotBorrowReply{Slots: encodeSlots(reply.Slots), LeaseMs: uint32(reply.Lease.Milliseconds())}, nil
	})
	peer.Handle(node, func(_ context.Context, from peer.Sender, m *peerpb.SlotReturn) (proto.Message, error) {
		lender.TakeBack(slots.ReturnRequest{From: from.Member, ViewVersion: m.GetViewVersion(), Slots: decodeSlots(m.GetSlots())})
		return &peerpb.Ack{}, nil
	})
}

func encodeSlots(list []slots.Slot) []*peerpb.LentSlot {
	encoded := make([]*peerpb.LentSlot, 0, len(list))
	for _, s := range list {
		encoded = append(encoded, &peerpb.LentSlot{Vm: string(s.VM), Index: uint32(s.Index)})
	}
	return encoded
}

func decodeSlots(list []*peerpb.LentSlot) []slots.Slot {
	decoded := make([]slots.Slot, 0, len(list))
	for _, s := range list {
		decoded = append(decoded, slots.Slot{VM: fleet.VMID(s.GetVm()), Index: int(s.GetIndex())})
	}
	return decoded
}
