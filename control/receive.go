package control

import (
	"context"
	"fmt"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// ReceiveHeartbeat queues a peer's heartbeat for the control goroutine.
func (c *Controller) ReceiveHeartbeat(ctx context.Context, m *peerpb.Heartbeat) {
	c.send(ctx, heartbeatReceived{message: m})
}

// ReceiveRowsRequest returns the rows that changed after the version that a peer holds.
func (c *Controller) ReceiveRowsRequest(ctx context.Context, m *peerpb.RowsRequest) (*peerpb.RowsPush, error) {
	reply := make(chan *peerpb.RowsPush, 1)
	c.send(ctx, peerRowsRequested{since: m.GetSince(), reply: reply})
	return awaitReply(ctx, reply)
}

// awaitReply returns the next value from reply, or the error of ctx if ctx ends first.
func awaitReply[T any](ctx context.Context, reply <-chan T) (T, error) {
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// ReceiveConfiguration puts a configuration in force that a peer has accepted.
// A nil error confirms that it, or a newer one, is in force.
func (c *Controller) ReceiveConfiguration(ctx context.Context, m *peerpb.ConfigPush) error {
	config, err := decodeDocument(m.GetDocument())
	if err != nil {
		c.options.Log.Record(eventlog.ConfigUnreadable, eventlog.Fields{"config_version": m.GetVersion(), "error": err.Error()})
		return fmt.Errorf("decode configuration %d: %w", m.GetVersion(), err)
	}
	if config.Version != m.GetVersion() {
		return fmt.Errorf("configuration %d is labelled %d", config.Version, m.GetVersion())
	}
	return c.activateConfiguration(ctx, config)
}

// ReceiveDrainQuery returns the fleet revision by which this process routes and
// the number of its requests in flight to a VM. It reads the revision first, so
// that requests routed by an older revision are still counted.
func (c *Controller) ReceiveDrainQuery(m *peerpb.DrainQuery) *peerpb.DrainReply {
	revision := c.State().Fleet.Revision
	if revision < m.GetFleetRevision() {
		c.Refresh()
	}
	return &peerpb.DrainReply{
		FleetRevision: revision,
		InFlight:      uint32(c.options.Traffic.InFlight(fleet.VMID(m.GetVm()), m.GetGeneration())),
	}
}

// QueryDrain sends a drain query to a member. If the member is this process, it
// answers the query directly.
func (c *Controller) QueryDrain(ctx context.Context, member fleet.MemberID, query *peerpb.DrainQuery) (*peerpb.DrainReply, error) {
	if member == c.options.Self.ID {
		return c.ReceiveDrainQuery(query), nil
	}
	return c.options.Peers.QueryDrain(ctx, member, query)
}
