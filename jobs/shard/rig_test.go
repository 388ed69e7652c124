package shard

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
)

const (
	testPool  = "pool"
	testQueue = job.Queue("queue")
	testHold  = 5 * time.Second
	testStop  = 900 * time.Millisecond
)

// rig is a pool with simulated workers and store, on fake time.
type rig struct {
	t    *testing.T
	ctx  context.Context
	loop *loop.Loop
	// ownLoops gives each owner a loop, so that one can be suspended.
	ownLoops bool

	store *rowstest.Store
	fleet *workertest.Fleet
	infos []worker.Info
	began time.Time
	fence uint64

	owners  []*owner
	adviser worker.Adviser
}

// owner is a shard with a right that the test controls.
type owner struct {
	*Shard
	loop  *loop.Loop
	right atomic.Bool
	lost  atomic.Bool
}

func (o *owner) do(f func()) { o.loop.Call(context.Background(), f) }

// suspend takes the right from an owner and stops its loop for a time. Answers
// to its calls are handled afterwards.
func (o *owner) suspend(d time.Duration) {
	o.right.Store(false)
	o.loop.Post(func() { time.Sleep(d) })
}

// onFakeTime runs a test with a rig in a bubble of fake time.
func onFakeTime(t *testing.T, test func(*rig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r := &rig{t: t, ctx: ctx, loop: loop.New(), store: &rowstest.Store{Latency: 4 * time.Millisecond}, began: time.Now()}
		r.fleet = workertest.New(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: time.Second} })
		go r.loop.Run(ctx)
		defer r.stop()
		test(r)
		assert.DeepEqual(t, r.fleet.Violations(), []string(nil))
	})
}

// stop ends all owners and waits for calls under way, which a bubble must not leave behind.
func (r *rig) stop() {
	for _, o := range r.owners {
		o.do(o.Stop)
	}
	time.Sleep(answerLimit)
}

func (r *rig) addWorkers(n int) {
	for range n {
		id := worker.ID(fmt.Sprintf("w%d", len(r.infos)))
		info := worker.Info{
			ID: id, Pool: testPool, Address: string(id), State: worker.Ready, StartedUnixMs: 1,
			Capacity: job.Resources{CPU: 4000, MemoryMB: 8000}, Labels: []string{"a", "rack-" + string(id)},
		}
		r.infos = append(r.infos, info)
		r.fleet.Add(info)
	}
}

// own makes a new owner of the shard, as after a takeover.
func (r *rig) own() *owner {
	r.fence++
	o := &owner{loop: r.loop}
	o.right.Store(true)
	if r.ownLoops {
		o.loop = loop.New()
		go o.loop.Run(r.ctx)
	}
	s, err := New(Options{
		Pool: testPool, Owner: fmt.Sprintf("owner-%d", r.fence), Fence: r.fence,
		HoldFor: testHold, KeepEnded: 10 * time.Minute, StopTime: testStop,
		Store: r.store, Workers: r.fleet, Adviser: r.adviser, Loop: o.loop, Recorder: eventlog.Discard,
		HasRight: o.right.Load, Lost: func() { o.lost.Store(true) },
		Clock: func() time.Duration { return time.Since(r.began) + time.Second },
	})
	assert.NilError(r.t, err)
	o.Shard = s
	r.owners = append(r.owners, o)
	o.do(func() {
		s.SetQueues(Queues{testQueue: {Attempts: 2, Stretch: 1.5, Objective: time.Second}})
		s.SetWorkers(r.infos)
		s.Start()
	})
	return o
}

func (r *rig) do(f func()) { r.loop.Call(context.Background(), f) }

func testID(n int) job.ID { return job.ID(fmt.Sprintf("%016x", n)) }

// simpleJob has one step of tasks with a core each.
func simpleJob(n, tasks int) *job.Job {
	return &job.Job{ID: testID(n), Queue: testQueue, Spec: "spec", Steps: []job.Step{
		{Count: tasks, Resources: job.Resources{CPU: 1000, MemoryMB: 100}, Estimate: time.Second},
	}}
}

// submit returns the answer to a submission, or Unknown after a while without one.
func (r *rig) submit(o *owner, j *job.Job) Answer {
	return r.call(o, func(answer func(Answer)) { o.Submit(j, answer) })
}

func (r *rig) cancel(o *owner, n int) Answer {
	return r.call(o, func(answer func(Answer)) { o.Cancel(testQueue, testID(n), answer) })
}

const answerLimit = 5 * time.Second

func (r *rig) call(o *owner, start func(func(Answer))) Answer {
	answers := make(chan Answer, 1)
	o.do(func() { start(func(a Answer) { answers <- a }) })
	select {
	case a := <-answers:
		return a
	case <-time.After(answerLimit):
		return Answer{Code: Unknown}
	}
}

func (r *rig) state(o *owner, n int) (a Answer) {
	o.do(func() { a = o.Lookup(testQueue, testID(n)) })
	return a
}

// await waits until a job is shown in a state.
func (r *rig) await(o *owner, n int, want job.State, limit time.Duration) {
	r.t.Helper()
	deadline := time.Now().Add(limit)
	for r.state(o, n).State != want {
		if time.Now().After(deadline) {
			r.t.Fatalf("job %d is %v after %v, want %v", n, r.state(o, n), limit, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
