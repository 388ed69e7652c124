package claims

import (
	"context"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer"
	"peridotcrank.dev/peer/peerpb"
)

// Transport sends messages to other members. peer.MaybeSent must tell for errors of
// Call whether the message may have been sent.
type Transport interface {
	Call(ctx context.Context, member fleet.MemberID, message proto.Message) (proto.Message, error)
	// Notify sends a message without waiting for a reply. The message may be lost.
	Notify(ctx context.Context, member fleet.MemberID, message proto.Message) error
}

// PeerTransport implements Transport with a peer.Node.
type PeerTransport struct{ Node *peer.Node }

// Call sends a request in the claims class.
func (t PeerTransport) Call(ctx context.Context, member fleet.MemberID, message proto.Message) (proto.Message, error) {
	return t.Node.Call(ctx, member, peer.ClassClaims, message)
}

// Notify sends a notification in the claims class.
func (t PeerTransport) Notify(ctx context.Context, member fleet.MemberID, message proto.Message) error {
	return t.Node.Notify(ctx, member, peer.ClassClaims, message)
}

// Register registers the service as the handler of claim messages at the node. It
// must be called before the node's Start.
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
