package shard

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/worker/workertest"
)

// replaceOwner ends an owner and starts the next one, which knows the queues of the rig.
func (r *rig) replaceOwner(o *owner) *owner {
	o.callOnLoop(o.Stop)
	o.ownsShard.Store(false)
	return r.startOwner()
}

// knownQueue returns the configuration of the test queue that the owner knows.
func (o *owner) knownQueue() (q Queue) {
	o.callOnLoop(func() { q = o.queues[testQueue] })
	return q
}

func (r *rig) queueRows() (queues []*jobpb.Queue) {
	r.t.Helper()
	page, err := rows.ReadAll(context.Background(), r.store, QueueTable, "")
	assert.NilError(r.t, err)
	for _, row := range page.Rows {
		record, err := DecodeQueue(row)
		assert.NilError(r.t, err)
		queues = append(queues, record)
	}
	return queues
}

// Guards against a job of a removed queue that starts without a limit of attempts once its
// shard has a new owner, and against attempts of former owners that no longer count.
func TestRemovedQueueKeepsItsAttemptsAfterTakeovers(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(4)
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan {
			return workertest.RunPlan{Duration: 3 * time.Second, Fails: true}
		})
		o := r.startOwner()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		r.queues = Queues{"other": {Attempts: 5}}
		o.callOnLoop(func() { o.SetQueues(r.queues) })
		for range 2 {
			o = r.replaceOwner(o)
			time.Sleep(time.Second)
		}
		r.awaitState(o, 1, job.Failed, 15*time.Second)
		assert.Equal(t, r.fleet.Starts(job.TaskRef{Job: testJobID(1)}), 2)
	})
}

// Guards against a job without a limit of attempts, because its queue is removed before the
// owner of the shard has received the configuration of the queue.
func TestJobOfUnknownQueueIsNotStored(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		r.queues = Queues{}
		o := r.startOwner()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, NotConfigured)
		assert.Assert(t, !r.isStored(1))
		o.callOnLoop(func() { o.SetQueues(Queues{testQueue: {Attempts: 2}}) })
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		o.callOnLoop(func() { o.SetQueues(Queues{}) })
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
	})
}

// Guards against starts without a ticket, or without order, of a removed queue once its
// shard has a new owner.
func TestRemovedQueueKeepsAdviceAndPriorityAfterTakeover(t *testing.T) {
	withAdvice(t, &policy{permitted: "w1", terms: quickTerms}, func(r *rig, o *owner) {
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: 2 * time.Second} })
		configured := Queue{Attempts: 2, Priority: 3, Stretch: 1.25, Objective: 1500 * time.Microsecond, Advice: quickTerms, Address: job.QueueAddress{Host: "h", Prefix: "/q/"}}
		o.callOnLoop(func() { o.SetQueues(Queues{testQueue: configured}) })
		j := simpleJob(1, 1)
		j.Steps = append(j.Steps, j.Steps[0])
		j.Steps[1].After = []int{0}
		assert.Equal(t, r.submit(o, j).Code, OK)
		r.queues = Queues{}
		o = r.replaceOwner(o)
		r.awaitState(o, 1, job.Completed, 20*time.Second)
		assert.Equal(t, r.fleet.TicketsRefused(), 0)
		assert.Equal(t, o.knownQueue(), configured)
	})
}

// Guards against a row that describes a former configuration of its queue, and against a
// queue that the next owner takes for removed although it is configured.
func TestRowOfQueueFollowsTheConfiguration(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.startOwner()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		for attempts := 3; attempts < 6; attempts++ {
			r.queues = Queues{testQueue: {Attempts: attempts, Address: job.QueueAddress{Host: "h", Prefix: fmt.Sprintf("/%d/", attempts%2)}}}
			o.callOnLoop(func() { o.SetQueues(r.queues) })
			time.Sleep(100 * time.Millisecond)
			records := r.queueRows()
			assert.Equal(t, len(records), 1)
			assert.Equal(t, records[0].Attempts, int64(attempts))
		}
		assert.Equal(t, r.queueRows()[0].Addresses[0].Prefix, "/0/")
		assert.Equal(t, r.queueRows()[0].Addresses[1].Prefix, "/1/")
		r.queues = Queues{testQueue: {Attempts: 9}}
		o = r.replaceOwner(o)
		time.Sleep(time.Second)
		assert.Equal(t, r.queueRows()[0].Attempts, int64(9))
		assert.Equal(t, o.knownQueue().Attempts, 9)
	})
}

// Guards against rows of queues that stay for good, that vanish while the queue has jobs, or
// that are missing when the queue gets a job again.
func TestRowOfQueueLastsAsLongAsItsJobs(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.startOwner()
		time.Sleep(time.Second)
		for n := range 3 {
			assert.Equal(t, r.submit(o, simpleJob(n, 1)).Code, OK)
			r.awaitState(o, n, job.Completed, 5*time.Second)
			time.Sleep(9 * time.Minute)
			assert.Equal(t, len(r.queueRows()), 1)
			time.Sleep(2 * time.Minute)
			assert.Equal(t, len(r.queueRows()), 0)
		}
	})
}

// Guards against transactions over the limit of the store when the configuration of many
// queues changes at once, and against jobs stored without the row of their queue.
func TestManyQueuesChangeAtOnce(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		const queues = 250
		submit := func(o *owner, n int) {
			j := simpleJob(n, 1)
			j.Queue = job.Queue(fmt.Sprint("queue-", n))
			o.callOnLoop(func() { o.Submit(j, func(Result) {}) })
		}
		configure := func(attempts int) Queues {
			config := Queues{}
			for n := range queues {
				config[job.Queue(fmt.Sprint("queue-", n))] = Queue{Attempts: attempts}
			}
			return config
		}
		r.queues = configure(2)
		o := r.startOwner()
		time.Sleep(time.Second)
		for n := range queues {
			submit(o, n)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(r.queueRows()), queues)
		o.callOnLoop(func() { o.SetQueues(configure(3)) })
		time.Sleep(2 * time.Second)
		for _, record := range r.queueRows() {
			assert.Equal(t, record.Attempts, int64(3))
		}
	})
}

// Guards against a shard that cannot be loaded, or loses its jobs, because a row of a queue
// cannot be decoded.
func TestUnreadableRowOfQueue(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.startOwner()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		r.store.Put(rows.Row{Key: rows.Key{Table: QueueTable, Name: "x"}, Value: []byte{0xff, 0xff}})
		o = r.replaceOwner(o)
		r.awaitState(o, 1, job.Completed, 15*time.Second)
	})
}
