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

// membersWritten is the end of a write of the members row.
type membersWritten struct{}

// apply keeps further writes back until a read that began after this one: the
// same conditional write on the old row would only be rejected.
func (membersWritten) apply(c *Controller) {
	c.written = c.options.Now()
	c.Refresh()
}

// allowWrites ends a write of the members row once its effect has been read.
func (c *Controller) allowWrites(readStarted time.Duration) {
	if c.written > 0 && readStarted >= c.written {
		c.writing, c.written = false, 0
	}
}

// maintainMembership joins, or evicts a member that a majority suspects. It waits
// for the first read, since reachable is false before it.
func (c *Controller) maintainMembership(ctx context.Context) {
	if c.writing || c.leavingUs || !c.reachable {
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
	c.writing = true
	transaction := store.Transaction{
		Conditions: []store.Condition{{Key: fleet.KeyMembers, Version: c.rows.membersVersion}},
		Writes:     []store.Write{write},
		Priority:   store.PrioritySafety,
	}
	c.work.Go(func() {
		// The next read shows the effect, whatever the reply says.
		_, _ = c.options.Table.Commit(ctx, transaction)
		c.send(ctx, membersWritten{})
	})
}

// leaveStarted is the order to leave the member view.
type leaveStarted struct{}

func (leaveStarted) apply(c *Controller) { c.leavingUs = true }

// Leave removes this process from the member view. It calls left once this
// process has adopted the view without itself and before the remaining members
// are made to, since they end their sessions with it then.
func (c *Controller) Leave(ctx context.Context, left func(context.Context)) error {
	c.send(ctx, leaveStarted{})
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
				left(ctx)
			}
			c.announceLeave(ctx, next, result.Revision)
			return nil
		}
		if err := c.awaitMembers(ctx, state.MembersVersion); err != nil {
			return err
		}
	}
}

// announceLimit bounds the wait for the members that remain, which is a part of
// the timeout of a planned stop.
const announceLimit = time.Second

// announceLeave waits until the remaining members have read the view without
// this process. A member that missed it, because the process comes back before
// the next read, could not tell a handover from the death of a process.
func (c *Controller) announceLeave(ctx context.Context, next fleet.MemberView, revision store.Version) {
	ctx, cancel := context.WithTimeout(ctx, announceLimit)
	defer cancel()
	state := c.State()
	message := &peerpb.Heartbeat{
		Member: string(state.Self.ID), Incarnation: state.Self.Incarnation, ViewVersion: next.Version,
		FleetRevision: revision, ConfigVersion: state.Config.Version, StoreReachable: true,
	}
	var members sync.WaitGroup
	for _, m := range next.Members {
		members.Go(func() { c.announceLeaveTo(ctx, m.ID, message) })
	}
	members.Wait()
}

// announceLeaveTo repeats a heartbeat that makes the member read the view, until
// the member has read it.
func (c *Controller) announceLeaveTo(ctx context.Context, to fleet.MemberID, message *peerpb.Heartbeat) {
	for {
		// A member that holds the view refuses both, because it has no session
		// with a process outside of it.
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
		case <-time.After(awaitInterval):
		}
	}
}

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
