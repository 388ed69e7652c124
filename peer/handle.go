package peer

import (
	"context"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"peridotcrank.dev/fleet"
)

// handlerFunc is a handler registered with Handle, without its message type.
type handlerFunc func(ctx context.Context, from Sender, message proto.Message) (proto.Message, error)

// Handle registers the handler of messages of type T, replacing an earlier one.
// Requests are handled concurrently. Notifications of one peer and class are
// handled one at a time, in order, and their results are ignored. When the
// handler returns neither a reply nor an error, an empty reply is sent. The
// handler's context ends at the sender's deadline or with the session.
func Handle[T proto.Message](n *Node, handler func(ctx context.Context, from Sender, message T) (proto.Message, error)) {
	var prototype T
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[messageType(prototype)] = func(ctx context.Context, from Sender, message proto.Message) (proto.Message, error) {
		return handler(ctx, from, message.(T))
	}
}

func (n *Node) handlerFor(name protoreflect.FullName) handlerFunc {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[name]
}

// CallTyped is like Call but returns a reply of type R. A reply of another type
// results in ErrReplyType.
func CallTyped[R proto.Message](ctx context.Context, n *Node, member fleet.MemberID, class Class, message proto.Message) (R, error) {
	var zero R
	reply, err := n.Call(ctx, member, class, message)
	if err != nil {
		return zero, err
	}
	typed, ok := reply.(R)
	if !ok {
		return zero, &Error{Step: StepReply, Peer: member, MaybeSent: true, Err: ErrReplyType}
	}
	return typed, nil
}
