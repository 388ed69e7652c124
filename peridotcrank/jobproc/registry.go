package jobproc

import (
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/platform"
)

// returnTime is how long entries that lapsed while the store was away may take to come back.
const returnTime = 2200 * time.Millisecond

// registry keeps the workers that the platform lists. Its methods run on the
// watcher's goroutine; the pools that it hands out belong to the control loop.
type registry struct {
	process  *Process
	feed     func(error)
	entries  map[string]worker.Info
	broken   map[string]bool
	restored time.Time // When the store answered again after a failure.
	failing  bool
	current  map[string]rows.Row
}

func newRegistry(p *Process) *registry {
	return &registry{process: p, feed: p.feedState(platform.WorkerTable), entries: map[string]worker.Info{}, broken: map[string]bool{}}
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
	entries := map[string]worker.Info{}
	if r.failing || !r.restored.IsZero() {
		for name, info := range r.entries {
			entries[name] = info
		}
	}
	for name, row := range table {
		info, err := platform.DecodeWorker(row)
		if err != nil {
			if !r.broken[name] {
				r.broken[name] = true
				r.process.log.Record(eventlog.EntryUnreadable, eventlog.Fields{"entry": name, "error": err})
			}
			delete(entries, name)
			continue
		}
		entries[name] = info
	}
	r.entries = entries
	pools := map[string][]worker.Info{}
	for _, info := range entries {
		pools[info.Pool] = append(pools[info.Pool], info)
	}
	r.process.loop.Post(func() { r.process.setWorkers(pools) })
}
