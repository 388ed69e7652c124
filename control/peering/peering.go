// Package peering sends and receives the messages of the control loop over the
// sessions between entry processes.
package peering

import (
	"context"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/control"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer"
	"peridotcrank.dev/peer/peerpb"
)

// Peers implements control.Peers over a peer.Node.
type Peers struct {
	node *peer.Node
}

// New returns peers that are reached over the sessions of a node.
func New(node *peer.Node) *Peers { return &Peers{node: node} }

// SetMembers implements control.Peers.
func (p *Peers) SetMembers(view fleet.MemberView) { p.node.SetMembers(view) }

// Heartbeat implements control.Peers.
func (p *Peers) Heartbeat(ctx context.Context, to fleet.MemberID, h *peerpb.Heartbeat) error {
	return p.node.Notify(ctx, to, peer.ClassControl, h)
}

// PushConfiguration implements control.Peers.
func (p *Peers) PushConfiguration(ctx context.Context, to fleet.MemberID, push *peerpb.ConfigPush) error {
	_, err := callControl[*peerpb.Ack](ctx, p, to, push)
	return err
}

// FetchRows implements control.Peers.
func (p *Peers) FetchRows(ctx context.Context, to fleet.MemberID, request *peerpb.RowsRequest) (*peerpb.RowsPush, error) {
	return callControl[*peerpb.RowsPush](ctx, p, to, request)
}

// QueryDrain implements control.Peers.
func (p *Peers) QueryDrain(ctx context.Context, to fleet.MemberID, query *peerpb.DrainQuery) (*peerpb.DrainReply, error) {
	return callControl[*peerpb.DrainReply](ctx, p, to, query)
}

// callControl sends a request in the control class and returns its reply.
func callControl[R proto.Message](ctx context.Context, p *Peers, to fleet.MemberID, message proto.Message) (R, error) {
	return peer.CallTyped[R](ctx, p.node, to, peer.ClassControl, message)
}

// Serve registers the handlers that pass the messages of peers to a controller.
// Call it before node.Start.
func Serve(node *peer.Node, c *control.Controller) {
	peer.Handle(node, func(ctx context.Context, _ peer.Sender, m *peerpb.Heartbeat) (proto.Message, error) {
		c.ReceiveHeartbeat(ctx, m)
		return nil, nil
	})
	peer.Handle(node, func(ctx context.Context, _ peer.Sender, m *peerpb.ConfigPush) (proto.Message, error) {
		return &peerpb.Ack{}, c.ReceiveConfiguration(ctx, m)
	})
	peer.Handle(node, func(ctx context.Context, _ peer.Sender, m *peerpb.RowsRequest) (proto.Message, error) {
		return asMessage(c.ReceiveRowsRequest(ctx, m))
	})
	peer.Handle(node, func(_ context.Context, _ peer.Sender, m *peerpb.DrainQuery) (proto.Message, error) {
		return c.ReceiveDrainQuery(m), nil
	})
}

// asMessage returns a nil interface on an error, because a nil pointer in message
// would become a non-nil proto.Message.
func asMessage[M proto.Message](message M, err error) (proto.Message, error) {
	if err != nil {
		return nil, err
	}
	return message, nil
}
