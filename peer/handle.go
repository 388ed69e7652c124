package peer

import (
	"context"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"peridotcrank.dev/fleet"
)

type handlerFunc func(ctx context.Context, from Sender, message proto.Message) (proto.Message, error)

// Handle registers the handler of messages of type T, replacing an earlier one.
// Requests run concurrently. Notifications of one peer and class run one at a
// time, in order; their results are ignored. A nil reply without an error sends
// an empty reply. The context ends with the sender's deadline or the session.
func Handle[T proto.Message](n *Node, handler func(ctx context.Context, from Sender, message T) (proto.Message, error)) {
	var prototype T
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[messageType(prototype)] = func(ctx context.Context, from Sender, message proto.Message) (proto.Message, error) {
		return handler(ctx, from, message.(T))
	}
}

func (n *Node) handler(name protoreflect.FullName) handlerFunc {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[name]
}

// Ask is Call with a typed reply. A reply of another type is an error.
func Ask[R proto.Message](ctx context.Context, n *Node, member fleet.MemberID, class Class, message proto.Message) (R, error) {
	var none R
	reply, err := n.Call(ctx, member, class, message)
	if err != nil {
		return none, err
	}
	typed, ok := reply.(R)
	if !ok {
		return none, &Error{Step: StepReply, Peer: member, MaybeSent: true, Err: ErrReplyType}
	}
	return typed, nil
}
