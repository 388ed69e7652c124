package jobproc

import (
	"context"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/ingress"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/shard"
)

const (
	// historyFeedWait is how long the store may hold back the feed of the queues' rows. They
	// are also read with each configuration, so the feed is rarely needed soon.
	historyFeedWait = 10 * time.Second
	// historyReadTimeout limits one attempt to read the queues' rows.
	historyReadTimeout = 2 * time.Second
	// historyRetryDelay is the time after a failed attempt.
	historyRetryDelay = 150 * time.Millisecond
)

// queueRowsWatcher returns the watcher of the rows of queues with stored jobs.
func (p *Process) queueRowsWatcher() rows.PartsWatcher {
	return rows.PartsWatcher{
		Store: p.store, Table: shard.QueueTable, Parts: func() []string { return []string{""} }, FeedWait: historyFeedWait,
		OnChange: p.postQueueRows, OnRead: p.newFeedStateRecorder(shard.QueueTable),
	}
}

// readQueueHistory reads the rows of the queues until that succeeds or ctx ends. A process
// needs them before it applies a configuration: it may not have seen the former ones, and
// would take the jobs that they sent elsewhere for unknown.
func (p *Process) readQueueHistory(ctx context.Context) {
	record := p.newFeedStateRecorder(shard.QueueTable)
	for ctx.Err() == nil {
		page, err := p.readQueueRows(ctx)
		record(err)
		if err == nil {
			p.postQueueRows(page.Rows)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(historyRetryDelay):
		}
	}
}

func (p *Process) readQueueRows(ctx context.Context) (rows.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, historyReadTimeout)
	defer cancel()
	return rows.ReadAll(ctx, p.store, shard.QueueTable, "")
}

// postQueueRows passes rows of queues to the control loop.
func (p *Process) postQueueRows(changed []rows.Row) {
	p.loop.Scope(func(reason any, _ []byte) { p.recordCallPanic(reason) }).Post(func() { p.applyQueueRows(changed) })
}

// applyQueueRows updates the history of the queues and the routes. A row that cannot be
// decoded is logged and leaves the history as it is.
func (p *Process) applyQueueRows(changed []rows.Row) {
	for _, row := range changed {
		if row.Deleted {
			p.history.Remove(row)
			continue
		}
		record, err := shard.DecodeQueue(row)
		if err != nil {
			p.log.Record(eventlog.JobRowUnreadable, eventlog.Fields{"table": row.Table, "row": row.Name, "version": row.Version, "error": err})
			continue
		}
		var addresses []job.QueueAddress
		for _, a := range record.Addresses {
			addresses = append(addresses, job.QueueAddress{Host: a.Host, Prefix: a.Prefix})
		}
		p.history.Store(row, ingress.Place{Queue: job.Queue(record.Name), Pool: record.Pool}, addresses)
	}
	p.applyRoutes()
}

// applyRoutes puts the routes of the current configuration in force, with the former places
// of their queues.
func (p *Process) applyRoutes() {
	if p.configVersion == 0 {
		return
	}
	p.history.AddFormerPlaces(p.routes)
	p.gate.Apply(ingress.Config{
		Version: p.configVersion, Routes: ingress.NewRouteTable(p.routes), Workspaces: p.workspaces, MaxBodyBytes: p.maxBodyBytes,
	})
}
