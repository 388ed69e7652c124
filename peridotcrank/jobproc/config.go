package jobproc

import (
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/shard"
	"peridotcrank.dev/platform"
)

// strictFeedWait is the wait of the feed when keys must be revoked in time. It leaves time
// for a lost reply and a second read within the revoke time.
const strictFeedWait = time.Second

// operatorTable passes the configuration and the waves that operators have written to
// the control loop. Its methods run on the watcher's goroutine.
type operatorTable struct {
	process *Process
	// version is that of the configuration in the last read, or 0 if the read had none
	// that can be decoded.
	version uint64
	// historyVersion is that of the configuration with which the rows of the queues were
	// read last.
	historyVersion uint64
}

// operatorTableWatcher returns the watcher of the operators' table.
func (p *Process) operatorTableWatcher() rows.Watcher {
	t := &operatorTable{process: p}
	w := rows.Watcher{
		Store: p.store, Table: platform.OperatorTable, OnChange: p.recoverPanics(t.applyRows),
		OnRead: p.newFeedStateRecorder(platform.OperatorTable),
	}
	if p.currentSettings().Keys.Revoke > 0 {
		w.FeedWait, w.Clock, w.OnConfirmed = strictFeedWait, p.gate.Now, t.confirm
	}
	return w
}

// confirm records that a read sent at the given time saw the current rows. The
// configuration of that read may still be queued on the loop, so the confirmation takes
// the same way.
func (t *operatorTable) confirm(sent time.Duration) {
	if version := t.version; version > 0 {
		t.process.loop.Post(func() { t.process.gate.Confirm(version, sent) })
	}
}

// applyRows applies the configuration and the waves. Unreadable rows are logged and
// ignored.
func (t *operatorTable) applyRows(table map[string]rows.Row) {
	p := t.process
	t.version = 0
	c, found, err := platform.DecodeConfig(table)
	if err != nil {
		p.log.Record(eventlog.ConfigUnreadable, eventlog.Fields{"error": err})
	}
	waves, waveErrors := platform.DecodeWaves(table)
	for _, waveErr := range waveErrors {
		p.log.Record(eventlog.RegistryEntryUnreadable, eventlog.Fields{"error": waveErr})
	}
	if found && c.Version > t.historyVersion {
		p.readQueueHistory(p.runContext)
		t.historyVersion = c.Version
	}
	p.loop.Scope(func(reason any, _ []byte) { p.recordCallPanic(reason) }).Post(func() {
		if found {
			p.applyConfig(c)
		}
		p.waves = waves
		p.configureFleetManager()
	})
	if found {
		t.version = c.Version
	}
}

// recoverPanics wraps a handler of table rows so that a panic is logged instead of
// ending the process.
func (p *Process) recoverPanics(changed func(map[string]rows.Row)) func(map[string]rows.Row) {
	return func(table map[string]rows.Row) {
		defer func() {
			if reason := recover(); reason != nil {
				p.recordCallPanic(reason)
			}
		}()
		changed(table)
	}
}

// applyConfig applies a configuration. Versions that are not newer than the current
// one are ignored, because reads can complete out of order.
func (p *Process) applyConfig(c platform.Config) {
	if c.Version <= p.configVersion {
		return
	}
	p.configVersion = c.Version
	p.workspaces = c.Workspaces
	p.usage.setTable(c.Workspaces)
	p.queues = shard.Queues{}
	for i := range c.Routes {
		r := &c.Routes[i]
		p.queues[r.Queue] = shard.Queue{
			Attempts: r.Attempts, Priority: r.Priority, Stretch: r.Stretch, Objective: r.Objective, Advice: r.Advice,
			Address: job.QueueAddress{Host: r.Host, Prefix: r.Prefix},
		}
	}
	p.routes, p.maxBodyBytes = c.Routes, c.MaxBodyBytes
	p.history.SetRoutes(c.Routes, p.clock.Now())
	p.applyRoutes()
	p.poolNames, p.sparePool = nil, ""
	for _, pool := range c.Pools {
		p.poolNames = append(p.poolNames, pool.Name)
		if pool.Spare {
			p.sparePool = pool.Name
		}
	}
	p.cluster.SetShards(p.poolNames)
	if p.currentSettings().Platform.Machines != "" {
		p.cluster.SetShards([]string{fleetShard})
	}
	for name, s := range p.shards {
		p.scopes[name].Do(func() {
			s.SetQueues(p.queues)
			p.configureCaps(s)
		})
	}
	p.updateCapFeed()
	p.ready.Store(true)
	p.log.Record(eventlog.JobsConfigReceived, eventlog.Fields{"version": c.Version, "routes": len(c.Routes), "pools": len(p.poolNames), "stored_queues": p.history.Places()})
}

// recordStoreRoute logs whether calls to the store go directly or through a peer.
func (p *Process) recordStoreRoute(throughPeer bool) {
	code := eventlog.StoreDirect
	if throughPeer {
		code = eventlog.StoreThroughPeer
	}
	p.log.Record(code, eventlog.Fields{})
}

// newFeedStateRecorder returns a function that logs when the change feed of a table
// fails and when it recovers.
func (p *Process) newFeedStateRecorder(table string) func(error) {
	failing := false
	return func(err error) {
		if err != nil && !failing {
			p.log.Record(eventlog.FeedInterrupted, eventlog.Fields{"table": table, "error": err})
		}
		if err == nil && failing {
			p.log.Record(eventlog.FeedRestored, eventlog.Fields{"table": table})
		}
		failing = err != nil
	}
}
