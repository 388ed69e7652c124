package control

import (
	"context"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/membership"
	"peridotcrank.dev/store"
)

// rowsRead is the end of a read of the table service.
type rowsRead struct {
	started  time.Duration
	snapshot store.Snapshot
	err      error
}

func (e rowsRead) apply(c *Controller) {
	if e.err != nil {
		c.setReachable(false, e.err)
		return
	}
	c.setReachable(true, nil)
	c.readAt = e.started
	c.applyRows(e.snapshot.Revision, e.snapshot.Rows)
	c.tracker.ReadStore(c.options.Now(), membership.StoreRead{Started: e.started, View: c.rows.members})
	c.allowWrites(e.started)
}

func (c *Controller) setReachable(reachable bool, err error) {
	if c.reachable == reachable {
		return
	}
	c.reachable, c.dirty = reachable, true
	if reachable {
		c.options.Log.Record(eventlog.StoreReachable, eventlog.Fields{"fleet_revision": c.rows.revision})
		return
	}
	c.options.Log.Record(eventlog.StoreUnreachable, eventlog.Fields{"error": err.Error()})
}

// pollRows reads changed rows at intervals, and at once after Refresh.
func (c *Controller) pollRows(ctx context.Context) {
	var since store.Version
	ticker := time.NewTicker(c.options.Poll)
	defer ticker.Stop()
	for {
		started := c.options.Now()
		snapshot, err := c.options.Table.Read(ctx, "", since)
		if err == nil {
			since = snapshot.Revision
		}
		c.send(ctx, rowsRead{started: started, snapshot: snapshot, err: err})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.wakeup:
		}
	}
}

// Refresh asks for an immediate read of the table service.
func (c *Controller) Refresh() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// vmsListed is a new VM list.
type vmsListed struct {
	leaving map[fleet.VMID]bool
}

func (e vmsListed) apply(c *Controller) {
	c.alarms.listRead = c.options.Now()
	changed := len(e.leaving) != len(c.leaving)
	for id := range e.leaving {
		changed = changed || !c.leaving[id]
	}
	c.leaving = e.leaving
	if changed {
		c.markFleetDirty()
	}
}

// leavingOf returns the VMs that a list names as leaving.
func leavingOf(list store.VMList) map[fleet.VMID]bool {
	leaving := make(map[fleet.VMID]bool)
	for _, vm := range list.VMs {
		if vm.State == store.VMLeaving {
			leaving[vm.ID] = true
		}
	}
	return leaving
}

func (c *Controller) pollVMs(ctx context.Context) {
	ticker := time.NewTicker(c.options.Poll)
	defer ticker.Stop()
	for {
		if list, err := c.options.Platform.VMs(ctx); err == nil && !list.Unchanged {
			c.send(ctx, vmsListed{leaving: leavingOf(list)})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
