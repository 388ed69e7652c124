package jobproc

import (
	"context"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/platform"
)

// returnTime is how long entries that lapsed while the store was away may take to come back.
const returnTime = 2200 * time.Millisecond

// gatherChanges joins changes of the registry. Every worker writes its entry at
// each heartbeat.
const gatherChanges = 250 * time.Millisecond

// registry keeps the workers that the platform lists. It is read only while this
// process owns pools: each worker writes its entry at every heartbeat, and the
// bytes and the processor time of reading them grow with both numbers.
//
// Its methods run on the watcher's goroutine; the pools that it hands out belong
// to the control loop.
type registry struct {
	process  *Process
	ctx      context.Context // Ends when this process owns no pool any more.
	feed     func(error)
	entries  map[string]registered
	restored time.Time // When the store answered again after a failure.
	failing  bool
	current  map[string]rows.Row
}

// registered is an entry as it was decoded last.
type registered struct {
	version rows.Version
	info    worker.Info
	valid   bool
}

// watchRegistry follows the registry while this process owns pools. It runs on
// the loop, after each change of the pools it owns.
func (p *Process) watchRegistry() {
	switch {
	case len(p.shards) > 0 && p.stopRegistry == nil:
		ctx, stop := context.WithCancel(p.work)
		p.stopRegistry = stop
		r := &registry{process: p, ctx: ctx, feed: p.feedState(platform.WorkerTable), entries: map[string]registered{}}
		w := rows.Watcher{Store: p.store, Table: platform.WorkerTable, OnChange: p.tolerant(r.changed), OnRead: r.state, BatchDelay: gatherChanges}
		go w.Run(ctx)
	case len(p.shards) == 0 && p.stopRegistry != nil:
		p.stopRegistry()
		p.stopRegistry, p.pools = nil, nil
	}
}

func (r *registry) state(err error) {
	r.feed(err)
	if r.failing && err == nil {
		r.restored = time.Now()
	}
	r.failing = err != nil
	if r.current != nil && !r.restored.IsZero() && time.Since(r.restored) > returnTime {
		r.restored = time.Time{}
		r.changed(r.current)
	}
}

// changed takes the rows of the registry. An entry that is gone counts on for a
// while after the store was away.
func (r *registry) changed(table map[string]rows.Row) {
	r.current = table
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
	if !r.failing && r.restored.IsZero() {
		differs = r.dropMissing(table) || differs
	}
	if differs {
		r.publish()
	}
}

func (r *registry) decode(row rows.Row) registered {
	info, err := platform.DecodeWorker(row)
	if err != nil {
		r.process.log.Record(eventlog.RegistryEntryUnreadable, eventlog.Fields{"entry": row.Name, "error": err})
	}
	return registered{row.Version, info, err == nil}
}

func (r *registry) dropMissing(table map[string]rows.Row) (dropped bool) {
	for name := range r.entries {
		if _, ok := table[name]; !ok {
			delete(r.entries, name)
			dropped = true
		}
	}
	return dropped
}

func (r *registry) publish() {
	pools := map[string][]worker.Info{}
	for _, entry := range r.entries {
		if entry.valid {
			pools[entry.info.Pool] = append(pools[entry.info.Pool], entry.info)
		}
	}
	r.process.loop.Post(func() {
		if r.ctx.Err() == nil {
			r.process.setWorkers(pools)
		}
	})
}
