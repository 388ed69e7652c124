package jobproc

import (
	"context"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/shard"
	"peridotcrank.dev/jobs/workspaces"
)

// capBatchInterval is the time over which changes of caps are batched. It bounds the bytes
// that the feed takes while several pools exchange shares.
const capBatchInterval = 200 * time.Millisecond

// updateCapFeed starts the feed of the table of caps when this process owns a pool and the
// configuration has a workspace with a cap, and stops it when that ends. It runs on the
// loop after every change of either.
func (p *Process) updateCapFeed() {
	capped := cappedWorkspaces(p.workspaces)
	p.cappedWorkspaces.Store(&capped)
	needed := len(p.shards) > 0 && len(capped) > 0
	switch {
	case needed && p.stopCapFeed == nil:
		ctx, stop := context.WithCancel(p.runContext)
		p.stopCapFeed, p.capRows = stop, map[string]rows.Row{}
		w := rows.PartsWatcher{
			Store: p.store, Table: shard.TableCaps, BatchDelay: capBatchInterval,
			Parts:    func() []string { return *p.cappedWorkspaces.Load() },
			OnChange: func(changed []rows.Row) { p.postCapRows(ctx, changed) },
			OnRead:   p.newFeedStateRecorder(shard.TableCaps),
		}
		go w.Run(ctx)
	case !needed && p.stopCapFeed != nil:
		p.stopCapFeed()
		p.stopCapFeed, p.capRows = nil, nil
	}
}

// cappedWorkspaces returns the names of the workspaces with a cap.
func cappedWorkspaces(table *workspaces.Table) (names []string) {
	for _, w := range table.All() {
		if w.Cap != (job.Resources{}) {
			names = append(names, string(w.Name))
		}
	}
	return names
}

// postCapRows passes changed rows to the owned shards on the loop.
func (p *Process) postCapRows(ctx context.Context, changed []rows.Row) {
	p.loop.Post(func() {
		if ctx.Err() != nil {
			return
		}
		for _, row := range changed {
			if row.Version > p.capRows[row.Part].Version {
				p.capRows[row.Part] = row
			}
		}
		for name, s := range p.shards {
			p.scopes[name].Do(func() { s.ObserveCapRows(changed) })
		}
	})
}

// knownCapRows returns the latest rows of the table of caps, for a shard that starts.
func (p *Process) knownCapRows() []rows.Row {
	known := make([]rows.Row, 0, len(p.capRows))
	for _, row := range p.capRows {
		known = append(known, row)
	}
	return known
}

// configureCaps applies the workspaces of the configuration to a shard.
func (p *Process) configureCaps(s *shard.Shard) {
	s.SetPoolCount(len(p.poolNames))
	s.SetWorkspaces(p.workspaces)
	s.ObserveCapRows(p.knownCapRows())
}
