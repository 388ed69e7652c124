package control

import (
	"context"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/membership"
	"peridotcrank.dev/store"
)

// rowsRead is the event that a read of the table service has completed or failed.
type rowsRead struct {
	started  time.Duration
	snapshot store.Snapshot
	err      error
}

func (e rowsRead) apply(c *Controller) {
	if e.err != nil {
		c.setStoreReachable(false, e.err)
		return
	}
	c.setStoreReachable(true, nil)
	c.storeReadAt = e.started
	c.applyRows(e.snapshot.Revision, e.snapshot.Rows)
	c.tracker.RecordStoreRead(c.options.Now(), membership.StoreRead{Started: e.started, View: c.rows.members})
	c.finishMembersWrite(e.started)
}

func (c *Controller) setStoreReachable(storeReachable bool, err error) {
	if c.storeReachable == storeReachable {
		return
	}
	c.storeReachable, c.dirty = storeReachable, true
	if storeReachable {
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
		case <-c.pollNow:
		}
	}
}

// Refresh triggers an immediate read of the table service. It does not wait for it.
func (c *Controller) Refresh() {
	select {
	case c.pollNow <- struct{}{}:
	default:
	}
}

// vmListRead is the event that a new VM list has been read.
type vmListRead struct {
	leaving map[fleet.VMID]bool
}

func (e vmListRead) apply(c *Controller) {
	c.alarms.vmListReadAt = c.options.Now()
	changed := len(e.leaving) != len(c.leaving)
	for id := range e.leaving {
		changed = changed || !c.leaving[id]
	}
	c.leaving = e.leaving
	if changed {
		c.markFleetDirty()
	}
}

// listedLeaving returns the VMs that a list reports as leaving.
func listedLeaving(list store.VMList) map[fleet.VMID]bool {
	leaving := make(map[fleet.VMID]bool)
	for _, vm := range list.VMs {
		if vm.State == store.VMLeaving {
			leaving[vm.ID] = true
		}
	}
	return leaving
}

// pollVMs reads the VM list at intervals. Failed reads and unchanged lists send no event.
func (c *Controller) pollVMs(ctx context.Context) {
	ticker := time.NewTicker(c.options.Poll)
	defer ticker.Stop()
	for {
		if list, err := c.options.Platform.VMs(ctx); err == nil && !list.Unchanged {
			c.send(ctx, vmListRead{leaving: listedLeaving(list)})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
