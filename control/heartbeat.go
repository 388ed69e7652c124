package control

import (
	"context"
	"encoding/json"
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
	c.renewReport()
	// A heartbeat that could not be sent in time would look fresh to the peer.
	call, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	for _, member := range c.tracker.View().Members {
		if member.ID != c.self.ID {
			// Silence is evidence enough when it cannot be sent; the tracker sees it.
			_ = c.options.Peers.Heartbeat(call, member.ID, c.heartbeat(now, member.ID))
		}
	}
}

// heartbeat returns what this process says about itself to a member. It
// acknowledges the member's latest heartbeat. What it says was true after that
// heartbeat had arrived, as it would be for a reply.
func (c *Controller) heartbeat(now time.Duration, to fleet.MemberID) *peerpb.Heartbeat {
	message := &peerpb.Heartbeat{
		Member:         string(c.self.ID),
		Incarnation:    c.self.Incarnation,
		ViewVersion:    c.tracker.View().Version,
		FleetRevision:  c.rows.revision,
		ConfigVersion:  c.config.Version,
		StoreReachable: c.reachable,
		SentUs:         uint64(now.Microseconds()),
	}
	for _, id := range c.tracker.Suspects(now) {
		message.Suspects = append(message.Suspects, string(id))
	}
	c.addReport(message, to)
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

// heartbeatReceived is a heartbeat of a peer.
type heartbeatReceived struct {
	message *peerpb.Heartbeat
}

func (e heartbeatReceived) apply(c *Controller) {
	heard := decodeHeartbeat(e.message)
	if !c.tracker.Heard(c.options.Now(), heard) {
		c.Refresh()
		return
	}
	if e.message.GetEchoSentUs() > 0 && e.message.GetEchoIncarnation() == c.self.Incarnation {
		sent := time.Duration(e.message.GetEchoSentUs()) * time.Microsecond
		c.tracker.Acknowledged(c.options.Now(), sent, heard)
	}
	c.takeHeartbeat(e.message)
}

// takeHeartbeat records what a peer says and catches up when it knows more.
func (c *Controller) takeHeartbeat(m *peerpb.Heartbeat) {
	id, now := fleet.MemberID(m.GetMember()), c.options.Now()
	before := c.peers[id]
	state := PeerState{
		// A heartbeat may overtake the acknowledgement of a push; versions never decrease.
		Heard: now, FleetRevision: m.GetFleetRevision(), ConfigVersion: max(m.GetConfigVersion(), before.ConfigVersion),
		ConfigBehind: before.ConfigBehind, Leaving: before.Leaving,
	}
	switch {
	case state.ConfigVersion >= c.config.Version:
		state.ConfigBehind = 0
	case state.ConfigBehind == 0:
		state.ConfigBehind = now
	}
	if m.GetReportIncluded() {
		state.Leaving = leavingIn(m)
	}
	if !slices.Equal(state.Leaving, before.Leaving) {
		c.markFleetDirty()
	}
	c.dirty = c.dirty || state.ConfigVersion != before.ConfigVersion
	c.peers[id] = state
	c.takeReport(m)
	c.completeRollOut()
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
	c.work.Go(func() {
		call, cancel := context.WithTimeout(c.lifetime, c.options.Timeout)
		defer cancel()
		push, err := c.options.Peers.FetchRows(call, from, request)
		// The end must arrive also after a timeout, or no further fetch would start.
		c.send(c.lifetime, rowsFetched{push: push, err: err})
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
