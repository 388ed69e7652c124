package shard

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
)

// startObject starts another owner object under the name and the fence of an owner.
func (r *rig) startObject(first *owner) *owner {
	o := &owner{rig: r, loop: first.loop}
	o.ownsShard.Store(true)
	opts := first.opts
	opts.Acquisition++
	opts.OwnsShard, opts.OnLost, opts.Recorder = o.ownsShard.Load, func() { o.lost.Store(true) }, r.recorder
	s, err := New(opts)
	assert.NilError(r.t, err)
	o.Shard = s
	r.owners = append(r.owners, o)
	o.callOnLoop(func() {
		s.SetQueues(r.queues)
		s.idHomes[s.callersAddress(testQueue)] = testPool
		s.SetWorkspaces(r.workspaces)
		s.SetWorkers(r.workerInfos)
		s.Start()
	})
	return o
}

// Guards against a job that is accepted and not stored: a second owner object under one fence takes a late
// transaction of the first one, which has stopped, for its own.
func TestSecondObjectDoesNotTakeTransactionOfFirst(t *testing.T) {
	const lateBy = 100 * time.Millisecond
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		former := r.startOwner()
		time.Sleep(time.Second)
		former.callOnLoop(former.Stop)
		first := r.startOwner() // Finds all rows stored.
		time.Sleep(time.Second)

		r.store.Delay = lateBy
		var once sync.Once
		r.store.SetFault(func(rows.Tx) (fault rowstest.Fault) {
			once.Do(func() { fault = rowstest.Delayed })
			return fault
		})
		first.callOnLoop(func() { first.Submit(simpleJob(1, 1), func(Result) {}) })
		time.Sleep(lateBy / 2)
		first.callOnLoop(first.Stop)
		second := r.startObject(first)
		time.Sleep(lateBy)
		if r.submit(second, simpleJob(2, 1)).Code == OK {
			assert.Assert(t, r.isStored(2), "the job is accepted and not stored")
		}
	})
}
