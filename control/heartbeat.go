package control

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/membership"
	"peridotcrank.dev/peer/peerpb"
	"peridotcrank.dev/store"
)

// tick lets time pass and sends a heartbeat to every other member.
func (c *Controller) tick(ctx context.Context) {
	now := c.options.Now()
	c.tracker.Tick(now)
	c.checkAlarms(now)
	c.dirty = true
	if !c.tracker.InView() {
		return
	}
	message := c.heartbeat()
	for _, member := range c.tracker.View().Members {
		if member.ID != c.self.ID {
			c.work.goDo(func() { c.exchangeHeartbeat(ctx, member.ID, message, now) })
		}
	}
}

func (c *Controller) exchangeHeartbeat(ctx context.Context, to fleet.MemberID, message *peerpb.Heartbeat, sent time.Duration) {
	call, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	reply, err := c.options.Peers.Heartbeat(call, to, message)
	if err != nil {
		return // Silence is evidence enough; the tracker sees it.
	}
	c.send(ctx, heartbeatAcknowledged{message: reply, sent: sent})
}

// heartbeat returns what this process says about itself.
func (c *Controller) heartbeat() *peerpb.Heartbeat {
	message := &peerpb.Heartbeat{
		Member:         string(c.self.ID),
		Incarnation:    c.self.Incarnation,
		ViewVersion:    c.tracker.View().Version,
		FleetRevision:  c.rows.revision,
		ConfigVersion:  c.config.Version,
		StoreReachable: c.reachable,
		IdleSlots:      make(map[string]uint32),
	}
	for _, id := range c.tracker.Suspects(c.options.Now()) {
		message.Suspects = append(message.Suspects, string(id))
	}
	for _, id := range slices.Sorted(maps.Keys(c.leaving)) {
		message.LeavingVms = append(message.LeavingVms, string(id))
	}
	for pool, n := range c.options.Traffic.IdleSlots() {
		message.IdleSlots[string(pool)] = uint32(n)
	}
	return message
}

func decodeHeartbeat(m *peerpb.Heartbeat) membership.Heartbeat {
	h := membership.Heartbeat{
		Member: fleet.MemberID(m.GetMember()), Incarnation: m.GetIncarnation(),
		ViewVersion: m.GetViewVersion(), FleetRevision: m.GetFleetRevision(),
	}
	for _, id := range m.GetSuspects() {
		h.Suspects = append(h.Suspects, fleet.MemberID(id))
	}
	return h
}

// heartbeatReceived is a heartbeat of a peer that waits for a reply.
type heartbeatReceived struct {
	message *peerpb.Heartbeat
	reply   chan<- *peerpb.Heartbeat // Gets nil when the member is not in the view.
}

func (e heartbeatReceived) apply(c *Controller) {
	if !c.tracker.Heard(c.options.Now(), decodeHeartbeat(e.message)) {
		e.reply <- nil
		c.Refresh()
		return
	}
	c.takeReport(e.message)
	e.reply <- c.heartbeat()
}

// heartbeatAcknowledged is a peer's reply to a heartbeat.
type heartbeatAcknowledged struct {
	message *peerpb.Heartbeat
	sent    time.Duration
}

func (e heartbeatAcknowledged) apply(c *Controller) {
	c.tracker.Acknowledged(c.options.Now(), e.sent, decodeHeartbeat(e.message))
	c.takeReport(e.message)
}

// takeReport records what a peer says and catches up when it knows more.
func (c *Controller) takeReport(m *peerpb.Heartbeat) {
	id, now := fleet.MemberID(m.GetMember()), c.options.Now()
	state := PeerState{
		// A heartbeat may overtake the acknowledgement of a push; versions never decrease.
		Heard: now, FleetRevision: m.GetFleetRevision(), ConfigVersion: max(m.GetConfigVersion(), c.peers[id].ConfigVersion),
		ConfigBehind: c.peers[id].ConfigBehind,
	}
	switch {
	case state.ConfigVersion >= c.config.Version:
		state.ConfigBehind = 0
	case state.ConfigBehind == 0:
		state.ConfigBehind = now
	}
	for _, vm := range m.GetLeavingVms() {
		state.Leaving = append(state.Leaving, fleet.VMID(vm))
	}
	if !slices.Equal(state.Leaving, c.peers[id].Leaving) {
		c.markFleetDirty()
	}
	c.dirty = c.dirty || state.ConfigVersion != c.peers[id].ConfigVersion
	c.peers[id] = state
	c.completeRollOut()
	idle := make(map[fleet.PoolID]int, len(m.GetIdleSlots()))
	for pool, n := range m.GetIdleSlots() {
		idle[fleet.PoolID(pool)] = int(n)
	}
	c.options.Traffic.ReportIdle(id, idle)
	if m.GetFleetRevision() > c.rows.revision {
		c.catchUp(id)
	}
}

// catchUp reads newer rows: from the table service, or from the peer while the
// table service cannot be reached.
func (c *Controller) catchUp(from fleet.MemberID) {
	if c.reachable {
		c.Refresh()
		return
	}
	if c.fetching {
		return
	}
	c.fetching = true
	request := &peerpb.RowsRequest{Since: c.rows.revision}
	c.work.goDo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.options.Timeout)
		defer cancel()
		push, err := c.options.Peers.FetchRows(ctx, from, request)
		c.send(ctx, rowsFetched{push: push, err: err})
	})
}

// rowsFetched is the end of a read of rows from a peer.
type rowsFetched struct {
	push *peerpb.RowsPush
	err  error
}

func (e rowsFetched) apply(c *Controller) {
	c.fetching = false
	// Rows that extend a later revision than ours would leave a gap.
	if e.err != nil || e.push.GetSince() > c.rows.revision {
		return
	}
	changed := make([]store.Row, 0, len(e.push.GetRows()))
	for _, row := range e.push.GetRows() {
		changed = append(changed, store.Row{
			Key: row.GetKey(), Version: row.GetVersion(), Value: json.RawMessage(row.GetValue()), Deleted: row.GetDeleted(),
		})
	}
	c.applyRows(e.push.GetRevision(), changed)
}

// rowsRequested is a peer's request for rows.
type rowsRequested struct {
	since uint64
	reply chan<- *peerpb.RowsPush
}

func (e rowsRequested) apply(c *Controller) {
	push := &peerpb.RowsPush{Revision: c.rows.revision, Since: e.since}
	for _, row := range c.rows.since("", e.since) {
		push.Rows = append(push.Rows, &peerpb.Row{Key: row.Key, Version: row.Version, Value: row.Value, Deleted: row.Deleted})
	}
	e.reply <- push
}
