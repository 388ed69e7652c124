package shard

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
)

// replacedClient answers the first start on w0 late, as another worker at its former address.
type replacedClient struct {
	*workertest.Fleet
	once    sync.Once
	release chan struct{}
}

func (c *replacedClient) Start(ctx context.Context, to worker.Target, order worker.Start) (worker.ClockTime, error) {
	first := false
	if to.ID == "w0" {
		c.once.Do(func() { first = true })
	}
	if !first {
		return c.Fleet.Start(ctx, to, order)
	}
	select {
	case <-c.release:
		return 0, worker.ErrReplaced
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Guards against the refusal of a start for a former incarnation of a worker that counts as the
// end of the next one: the runs of that would be given up.
func TestRefusalOfFormerIncarnationKeepsNextOne(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		events := codeCounter{}
		r.recorder = events
		c := &replacedClient{Fleet: r.fleet, release: make(chan struct{})}
		r.client = c
		r.fleet.NoteListedEnds = true
		r.addWorkers(1)
		o := r.startOwner()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		time.Sleep(50 * time.Millisecond)
		r.setRegistryEntry(o, 0, r.restartInFleet(0, r.workerInfos[0].Capacity))
		assert.Equal(t, r.submit(o, simpleJob(2, 2)).Code, OK)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, r.fleet.Running(), 2)
		close(c.release)
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, r.countEvents(events, eventlog.WorkerGone), 0, "the worker counts as ended")
	})
}
