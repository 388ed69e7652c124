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

// tick updates the membership tracker, checks the alarms and sends a heartbeat to
// every other member.
func (c *Controller) tick(ctx context.Context) {
	now := c.options.Now()
	c.tracker.Tick(now)
	c.checkAlarms(now)
	c.dirty = true
	if !c.tracker.InView() {
		return
	}
	c.updateReport()
	// Sending is limited in time, because a delayed heartbeat would look fresh to the peer.
	call, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	for _, member := range c.tracker.View().Members {
		if member.ID != c.self.ID {
			// The error is ignored: the tracker suspects a peer that stays silent.
			_ = c.options.Peers.Heartbeat(call, member.ID, c.newHeartbeat(now, member.ID))
		}
	}
}

// newHeartbeat returns the heartbeat for a member, which acknowledges the member's
// latest heartbeat. It describes a state of this process after the arrival of that
// heartbeat, as a reply would.
func (c *Controller) newHeartbeat(now time.Duration, to fleet.MemberID) *peerpb.Heartbeat {
	message := &peerpb.Heartbeat{
		Member:         string(c.self.ID),
		Incarnation:    c.self.Incarnation,
		ViewVersion:    c.tracker.View().Version,
		FleetRevision:  c.rows.revision,
		ConfigVersion:  c.config.Version,
		StoreReachable: c.storeReachable,
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

// heartbeatReceived is the event of a heartbeat from a peer.
type heartbeatReceived struct {
	message *peerpb.Heartbeat
}

func (e heartbeatReceived) apply(c *Controller) {
	received := decodeHeartbeat(e.message)
	if !c.tracker.RecordHeartbeat(c.options.Now(), received) {
		c.Refresh()
		return
	}
	if e.message.GetEchoSentUs() > 0 && e.message.GetEchoIncarnation() == c.self.Incarnation {
		sent := time.Duration(e.message.GetEchoSentUs()) * time.Microsecond
		c.tracker.RecordAcknowledgement(c.options.Now(), sent, received)
	}
	c.recordHeartbeat(e.message)
}

// recordHeartbeat updates the state of a peer, and requests newer rows when the
// peer holds a later fleet revision.
func (c *Controller) recordHeartbeat(m *peerpb.Heartbeat) {
	id, now := fleet.MemberID(m.GetMember()), c.options.Now()
	before := c.peers[id]
	state := PeerState{
		// Heartbeats and acknowledgements of pushes can overtake each other, so the
		// recorded version never decreases.
		HeardAt: now, FleetRevision: m.GetFleetRevision(), ConfigVersion: max(m.GetConfigVersion(), before.ConfigVersion),
		ConfigBehind: before.ConfigBehind, Leaving: before.Leaving,
	}
	switch {
	case state.ConfigVersion >= c.config.Version:
		state.ConfigBehind = 0
	case state.ConfigBehind == 0:
		state.ConfigBehind = now
	}
	if m.GetReportIncluded() {
		state.Leaving = decodeLeavingVMs(m)
	}
	if !slices.Equal(state.Leaving, before.Leaving) {
		c.markFleetDirty()
	}
	c.dirty = c.dirty || state.ConfigVersion != before.ConfigVersion
	c.peers[id] = state
	c.recordReport(m)
	c.completeRollOut()
	if m.GetFleetRevision() > c.rows.revision {
		c.catchUp(id)
	}
}

// catchUp starts a read of newer rows from the table service, or from the peer
// while the table service cannot be reached.
func (c *Controller) catchUp(from fleet.MemberID) {
	if c.storeReachable {
		c.Refresh()
		return
	}
	if c.fetchingRows {
		return
	}
	c.fetchingRows = true
	request := &peerpb.RowsRequest{Since: c.rows.revision}
	c.background.Go(func() {
		call, cancel := context.WithTimeout(c.runContext, c.options.Timeout)
		defer cancel()
		push, err := c.options.Peers.FetchRows(call, from, request)
		// The event must be sent even after a timeout of call, because fetchingRows
		// blocks further fetches until it arrives.
		c.send(c.runContext, peerRowsFetched{push: push, err: err})
	})
}

// peerRowsFetched is the event that a read of rows from a peer has completed or failed.
type peerRowsFetched struct {
	push *peerpb.RowsPush
	err  error
}

func (e peerRowsFetched) apply(c *Controller) {
	c.fetchingRows = false
	// Changes since a later revision than that of the copy would leave a gap.
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

// peerRowsRequested is the event of a peer's request for the rows that changed
// after a version.
type peerRowsRequested struct {
	since uint64
	reply chan<- *peerpb.RowsPush
}

func (e peerRowsRequested) apply(c *Controller) {
	push := &peerpb.RowsPush{Revision: c.rows.revision, Since: e.since}
	for _, row := range c.rows.changedSince("", e.since) {
		push.Rows = append(push.Rows, &peerpb.Row{Key: row.Key, Version: row.Version, Value: row.Value, Deleted: row.Deleted})
	}
	e.reply <- push
}
