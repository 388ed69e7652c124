package control

import (
	"context"
	"fmt"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// ReceiveHeartbeat takes in a peer's heartbeat.
func (c *Controller) ReceiveHeartbeat(ctx context.Context, m *peerpb.Heartbeat) {
	c.send(ctx, heartbeatReceived{message: m})
}

// ReceiveRowsRequest returns the rows that a peer lacks.
func (c *Controller) ReceiveRowsRequest(ctx context.Context, m *peerpb.RowsRequest) (*peerpb.RowsPush, error) {
	reply := make(chan *peerpb.RowsPush, 1)
	c.send(ctx, rowsRequested{since: m.GetSince(), reply: reply})
	return receive(ctx, reply)
}

func receive[T any](ctx context.Context, reply <-chan T) (T, error) {
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// ReceiveConfiguration puts a configuration that a peer has accepted in force.
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
	return c.enforce(ctx, config)
}

// ReceiveDrainQuery returns the revision that this process routes by and its
// requests in flight to a VM, in this order: a request that an older revision
// let pass is then still counted.
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

// QueryDrain asks a member, which may be this process.
func (c *Controller) QueryDrain(ctx context.Context, member fleet.MemberID, query *peerpb.DrainQuery) (*peerpb.DrainReply, error) {
	if member == c.options.Self.ID {
		return c.ReceiveDrainQuery(query), nil
	}
	return c.options.Peers.QueryDrain(ctx, member, query)
}
