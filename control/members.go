package control

import (
	"context"
	"sync"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/membership"
	"peridotcrank.dev/peer/peerpb"
	"peridotcrank.dev/store"
)

// membersWritten is the event that a write of the members row has returned.
type membersWritten struct{}

// apply blocks further writes until a read that started after this write has
// completed, because a conditional write on the old row would be rejected.
func (membersWritten) apply(c *Controller) {
	c.membersWrittenAt = c.options.Now()
	c.Refresh()
}

// finishMembersWrite permits the next write of the members row once a read that
// started after the previous write has completed.
func (c *Controller) finishMembersWrite(readStarted time.Duration) {
	if c.membersWrittenAt > 0 && readStarted >= c.membersWrittenAt {
		c.writingMembers, c.membersWrittenAt = false, 0
	}
}

// maintainMembership adds this process to the member view, or evicts a member that
// a majority suspects. It does nothing before the first read, because
// storeReachable is false until then.
func (c *Controller) maintainMembership(ctx context.Context) {
	if c.writingMembers || c.selfLeaving || !c.storeReachable {
		return
	}
	if !c.tracker.InView() {
		c.join(ctx)
		return
	}
	candidate, ok := c.tracker.EvictionCandidate(c.options.Now())
	if !ok {
		return
	}
	next, ok := membership.Evict(c.tracker.View(), candidate)
	if ok {
		c.options.Log.Record(eventlog.MemberEvicted, eventlog.Fields{"peer": candidate.ID, "view_version": next.Version})
		c.writeMembers(ctx, next)
	}
}

// join writes the next view with a new incarnation of this process.
func (c *Controller) join(ctx context.Context) {
	next := membership.Join(c.tracker.View(), c.options.Self)
	for _, member := range next.Members {
		if member.ID == c.options.Self.ID {
			c.self = member
		}
	}
	c.tracker.SetIncarnation(c.self.Incarnation)
	c.writeMembers(ctx, next)
}

func (c *Controller) writeMembers(ctx context.Context, next fleet.MemberView) {
	write, err := store.Put(fleet.KeyMembers, next)
	if err != nil {
		return
	}
	c.writingMembers = true
	transaction := store.Transaction{
		Conditions: []store.Condition{{Key: fleet.KeyMembers, Version: c.rows.membersVersion}},
		Writes:     []store.Write{write},
		Priority:   store.PrioritySafety,
	}
	c.background.Go(func() {
		// The result is ignored, because the next read shows the effect.
		_, _ = c.options.Table.Commit(ctx, transaction)
		c.send(ctx, membersWritten{})
	})
}

// leaveRequested is the event that this process is to leave the member view.
type leaveRequested struct{}

func (leaveRequested) apply(c *Controller) { c.selfLeaving = true }

// Leave removes this process from the member view. It calls onLeft after this
// process has adopted the view without itself and before it makes the remaining
// members read that view, because they then close their sessions with this process.
func (c *Controller) Leave(ctx context.Context, onLeft func(context.Context)) error {
	c.send(ctx, leaveRequested{})
	for {
		state := c.State()
		next, ok := membership.Leave(state.Members, state.Self.ID, state.Self.Incarnation)
		if !ok {
			return nil
		}
		write, err := store.Put(fleet.KeyMembers, next)
		if err != nil {
			return err
		}
		result, err := c.options.Table.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{{Key: fleet.KeyMembers, Version: state.MembersVersion}},
			Writes:     []store.Write{write},
			Priority:   store.PrioritySafety,
		})
		if err != nil {
			return err
		}
		if result.Applied() {
			c.Refresh()
			if c.Await(ctx, func(s *State) bool { return !s.InView }) == nil {
				onLeft(ctx)
			}
			c.announceLeave(ctx, next, result.Revision)
			return nil
		}
		if err := c.awaitMembers(ctx, state.MembersVersion); err != nil {
			return err
		}
	}
}

// announceTimeout limits the wait for the remaining members, which is a part of
// the timeout of a planned stop.
const announceTimeout = time.Second

// announceLeave waits until the remaining members have read the view without this
// process. A member that missed this view, because the process rejoined before the
// member's next read, could not distinguish a handover from a crash.
func (c *Controller) announceLeave(ctx context.Context, next fleet.MemberView, revision store.Version) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	state := c.State()
	message := &peerpb.Heartbeat{
		Member: string(state.Self.ID), Incarnation: state.Self.Incarnation, ViewVersion: next.Version,
		FleetRevision: revision, ConfigVersion: state.Config.Version, StoreReachable: true,
	}
	var announcements sync.WaitGroup
	for _, m := range next.Members {
		announcements.Go(func() { c.announceLeaveTo(ctx, m.ID, message) })
	}
	announcements.Wait()
}

// announceLeaveTo repeats a heartbeat that makes the member read the view, until
// the member has read it.
func (c *Controller) announceLeaveTo(ctx context.Context, to fleet.MemberID, message *peerpb.Heartbeat) {
	for {
		// Both calls fail once the member has adopted the view, because it keeps no
		// session with a process outside the view.
		if c.options.Peers.Heartbeat(ctx, to, message) != nil {
			return
		}
		reply, err := c.options.Peers.FetchRows(ctx, to, &peerpb.RowsRequest{Since: message.GetFleetRevision()})
		if err != nil || reply.GetRevision() >= message.GetFleetRevision() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(awaitPollInterval):
		}
	}
}

// logViewChange records the members that joined or left between two views.
func (c *Controller) logViewChange(before, after fleet.MemberView) {
	former := make(map[fleet.MemberID]uint64)
	for _, m := range before.Members {
		former[m.ID] = m.Incarnation
	}
	for _, m := range after.Members {
		if former[m.ID] != m.Incarnation {
			c.options.Log.Record(eventlog.MemberJoined, eventlog.Fields{"peer": m.ID, "incarnation": m.Incarnation, "view_version": after.Version})
		}
		delete(former, m.ID)
	}
	for id := range former {
		code := eventlog.MemberLeft
		if id == c.self.ID {
			code = eventlog.SelfEvicted
		}
		c.options.Log.Record(code, eventlog.Fields{"peer": id, "view_version": after.Version})
	}
}
