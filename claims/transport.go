package claims

import (
	"context"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer"
	"peridotcrank.dev/peer/peerpb"
)

// Transport carries messages to other members. Errors of Call are judged by
// peer.MaybeSent.
type Transport interface {
	Call(ctx context.Context, member fleet.MemberID, message proto.Message) (proto.Message, error)
	// Notify sends without waiting; the message may be lost.
	Notify(ctx context.Context, member fleet.MemberID, message proto.Message) error
}

// PeerTransport is the Transport over a peer.Node.
type PeerTransport struct{ Node *peer.Node }

// Call sends a request in the claims class.
func (t PeerTransport) Call(ctx context.Context, member fleet.MemberID, message proto.Message) (proto.Message, error) {
	return t.Node.Call(ctx, member, peer.ClassClaims, message)
}

// Notify sends a notification in the claims class.
func (t PeerTransport) Notify(ctx context.Context, member fleet.MemberID, message proto.Message) error {
	return t.Node.Notify(ctx, member, peer.ClassClaims, message)
}

// Register makes the node pass claim messages to the service. Call it before
// the node's Start.
func (s *Service) Register(node *peer.Node) {
	register[*peerpb.Claim](node, s)
	register[*peerpb.ClaimBackup](node, s)
	register[*peerpb.ClaimRelease](node, s)
	register[*peerpb.ClaimRecovery](node, s)
	register[*peerpb.ClaimHandover](node, s)
}

func register[T proto.Message](node *peer.Node, s *Service) {
	peer.Handle(node, func(_ context.Context, from peer.Sender, message T) (proto.Message, error) {
		return s.Receive(from.Member, message)
	})
}
