package jobproc

import (
	"context"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/platform"
)

// reregistrationTime is how long workers may take to write their entries again after
// a store outage during which the entries expired.
const reregistrationTime = 2200 * time.Millisecond

// changeBatchInterval is the time over which registry changes are batched, because
// every worker writes its entry at each heartbeat.
const changeBatchInterval = 250 * time.Millisecond

// registry keeps the workers registered on the platform. It is read only while this
// process owns pools: each worker writes its entry at every heartbeat, so the bytes
// and CPU time of reading grow with the number of processes times the number of workers.
//
// Its methods run on the watcher's goroutine. The pools that it publishes belong to
// the control loop.
type registry struct {
	process         *Process
	ctx             context.Context // Cancelled when this process no longer owns a pool.
	recordFeedState func(error)
	entries         map[string]registryEntry
	restoredAt      time.Time // When the store recovered from a failure; zero once missing entries are dropped.
	failing         bool
	latest          map[string]rows.Row
}

// registryEntry is the last decoded version of a worker's entry.
type registryEntry struct {
	version rows.Version
	info    worker.Info
	valid   bool
}

// updateRegistryWatch starts the registry watcher when this process gains its first
// pool and stops it when the last one is lost. It runs on the loop after every change
// of ownership.
func (p *Process) updateRegistryWatch() {
	switch {
	case len(p.shards) > 0 && p.stopRegistry == nil:
		ctx, stop := context.WithCancel(p.runContext)
		p.stopRegistry = stop
		r := &registry{process: p, ctx: ctx, recordFeedState: p.newFeedStateRecorder(platform.WorkerTable), entries: map[string]registryEntry{}}
		w := rows.Watcher{Store: p.store, Table: platform.WorkerTable, OnChange: p.recoverPanics(r.applyRows), OnRead: r.handleFeedState, BatchDelay: changeBatchInterval}
		go w.Run(ctx)
	case len(p.shards) == 0 && p.stopRegistry != nil:
		p.stopRegistry()
		p.stopRegistry, p.workersByPool = nil, nil
	}
}

// handleFeedState tracks whether the registry can be read. Once reregistrationTime has
// passed after a failure, it drops the entries that are still missing.
func (r *registry) handleFeedState(err error) {
	r.recordFeedState(err)
	if r.failing && err == nil {
		r.restoredAt = time.Now()
	}
	r.failing = err != nil
	if r.latest != nil && !r.restoredAt.IsZero() && time.Since(r.restoredAt) > reregistrationTime {
		r.restoredAt = time.Time{}
		r.applyRows(r.latest)
	}
}

// applyRows decodes the changed rows of the registry and publishes the workers if any
// differs. During a store failure and for reregistrationTime after it, missing entries
// still count.
func (r *registry) applyRows(table map[string]rows.Row) {
	r.latest = table
	differs := false
	for name, row := range table {
		last := r.entries[name]
		if last.version == row.Version {
			continue
		}
		next := r.decode(row)
		differs = differs || next.valid != last.valid || !next.info.Equal(last.info)
		r.entries[name] = next
	}
	if !r.failing && r.restoredAt.IsZero() {
		differs = r.dropMissing(table) || differs
	}
	if differs {
		r.publish()
	}
}

// decode decodes an entry. An unreadable one is logged and marked invalid.
func (r *registry) decode(row rows.Row) registryEntry {
	info, err := platform.DecodeWorker(row)
	if err != nil {
		r.process.log.Record(eventlog.RegistryEntryUnreadable, eventlog.Fields{"entry": row.Name, "error": err})
	}
	return registryEntry{row.Version, info, err == nil}
}

// dropMissing removes the entries that are not in table and reports whether there were any.
func (r *registry) dropMissing(table map[string]rows.Row) (dropped bool) {
	for name := range r.entries {
		if _, ok := table[name]; !ok {
			delete(r.entries, name)
			dropped = true
		}
	}
	return dropped
}

// publish passes the valid workers, by pool, to the control loop.
func (r *registry) publish() {
	workersByPool := map[string][]worker.Info{}
	for _, entry := range r.entries {
		if entry.valid {
			workersByPool[entry.info.Pool] = append(workersByPool[entry.info.Pool], entry.info)
		}
	}
	r.process.loop.Post(func() {
		if r.ctx.Err() == nil {
			r.process.setWorkers(workersByPool)
		}
	})
}
