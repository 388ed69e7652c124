package shard

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// turnAdviser is an adviser that handles one call at a time, in turn, also those that were given up.
type turnAdviser struct {
	stated    worker.AdvicePolicy
	slowdown  time.Duration // Factor by which calls take longer than stated; 0 for 1.
	silentFor int32         // Number of calls that get no answer, without a turn.

	turn     chan struct{}
	waiting  atomic.Int32
	calls    atomic.Int32
	answered atomic.Int32
	unheard  atomic.Int32 // Answered after they were given up.
}

func newTurnAdviser(stated worker.AdvicePolicy) *turnAdviser {
	return &turnAdviser{stated: stated}
}

// maxWaitingCalls is the number of waiting calls from which the adviser rejects further ones.
const maxWaitingCalls = 32

// Advise implements [worker.Adviser].
func (a *turnAdviser) Advise(ctx context.Context, step string, workers []worker.ID) (worker.Advice, error) {
	if a.calls.Add(1) <= a.silentFor {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if a.waiting.Load() >= maxWaitingCalls {
		return nil, worker.ErrAdviserBusy
	}
	a.waiting.Add(1)
	answer := make(chan worker.Advice, 1)
	go func() {
		a.turn <- struct{}{}
		a.waiting.Add(-1)
		time.Sleep(max(a.slowdown, 1) * (a.stated.CallDuration + time.Duration(len(workers))*a.stated.DurationPerWorker))
		<-a.turn
		a.answered.Add(1)
		if ctx.Err() != nil {
			a.unheard.Add(1)
		}
		advice := worker.Advice{}
		for _, id := range workers {
			advice[id] = step + "@" + string(id)
		}
		answer <- advice
	}()
	select {
	case advice := <-answer:
		return advice, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

var slowTerms = worker.AdvicePolicy{CallDuration: 300 * time.Millisecond, DurationPerWorker: 50 * time.Millisecond, TicketValidity: 5 * time.Second}

// advisedRig is a rig with pools of 9 workers, owned by one process, whose queue needs advice.
type advisedRig struct {
	*rig
	pools  []string
	owners []*owner
	jobs   int
}

func onAdvisedRig(t *testing.T, a *turnAdviser, pools []string, test func(*advisedRig)) {
	onFakeTime(t, func(r *rig) {
		a.turn = make(chan struct{}, 1) // In the bubble of the test.
		r.adviser = a
		r.queues = Queues{testQueue: {Attempts: 2, Advice: a.stated}}
		ar := &advisedRig{rig: r, pools: pools}
		for _, pool := range pools {
			r.addWorkersTo(pool, 9)
		}
		ar.startOwners()
		defer func() {
			ar.stopOwners()
			for a.waiting.Load() > 0 {
				time.Sleep(time.Second)
			}
		}()
		time.Sleep(time.Second)
		test(ar)
	})
}

// startOwners starts an owner of each pool in a new process.
func (r *advisedRig) startOwners() {
	r.stopOwners()
	r.owners, r.adviceQueue = nil, nil
	for _, pool := range r.pools {
		r.owners = append(r.owners, r.startOwnerOf(pool, func(*Shard) {}))
	}
}

func (r *advisedRig) stopOwners() {
	for _, o := range r.owners {
		o.callOnLoop(o.Stop)
		o.ownsShard.Store(false)
	}
}

// submitToAll submits n jobs of 6 tasks to each pool.
func (r *advisedRig) submitToAll(n int) {
	for range n {
		for _, o := range r.owners {
			r.jobs++
			assert.Equal(r.t, r.submit(o, simpleJob(r.jobs, 6)).Code, OK)
		}
	}
}

// awaitCompleted waits until all jobs have completed.
func (r *advisedRig) awaitCompleted(limit time.Duration) {
	r.t.Helper()
	deadline := time.Now().Add(limit)
	for n := 1; n <= r.jobs; n++ {
		left := max(time.Until(deadline), 0)
		r.awaitState(r.owners[(n-1)%len(r.owners)], n, job.Completed, left)
	}
}

const (
	// trafficTime and jobInterval are the duration of the traffic and the time between two jobs of a pool.
	trafficTime = 35 * time.Second
	jobInterval = 1667 * time.Millisecond
	// finishLimit is the time after the traffic in which all jobs have to complete.
	finishLimit = 14 * time.Second
)

// playTraffic submits a job to each pool in each interval, and six more once 6 s have passed.
func (r *advisedRig) playTraffic() {
	batch := 6
	for began := time.Now(); time.Since(began) < trafficTime; time.Sleep(jobInterval) {
		n := 1
		if time.Since(began) > 6*time.Second {
			n, batch = n+batch, 0
		}
		r.submitToAll(n)
	}
}

// Guards against calls for advice that are given up and asked again after a batch of jobs, until no job starts any more.
func TestAdviceIsHeardAfterBatch(t *testing.T) {
	for name, pools := range map[string][]string{"one pool": {testPool}, "two pools in a process": {testPool, "other"}} {
		t.Run(name, func(t *testing.T) {
			terms := slowTerms
			if len(pools) > 1 {
				terms.CallDuration, terms.DurationPerWorker = 150*time.Millisecond, 25*time.Millisecond
			}
			a := newTurnAdviser(terms)
			onAdvisedRig(t, a, pools, func(r *advisedRig) {
				r.playTraffic()
				r.awaitCompleted(finishLimit)
				assert.Equal(t, a.unheard.Load(), int32(0), "of %d answers", a.answered.Load())
			})
		})
	}
}

// Guards against an adviser that is much slower than the queue states, whose calls would all be given up.
func TestSlowAdviserIsHeard(t *testing.T) {
	a := newTurnAdviser(slowTerms)
	a.slowdown = 8 // 6 s a call.
	onAdvisedRig(t, a, []string{testPool}, func(r *advisedRig) {
		r.submitToAll(6)
		r.awaitCompleted(70 * time.Second)
		assert.Assert(t, a.unheard.Load() <= 2, "%d of %d answers were not heard", a.unheard.Load(), a.answered.Load())
	})
}

// Guards against tickets that expire before they are used, since they are valid for less time than a call takes.
func TestShortTicketsAreUsed(t *testing.T) {
	terms := slowTerms
	terms.TicketValidity = 200 * time.Millisecond
	a := newTurnAdviser(terms)
	onAdvisedRig(t, a, []string{testPool}, func(r *advisedRig) {
		r.submitToAll(4)
		r.awaitCompleted(12 * time.Second)
	})
}

// Guards against calls to an adviser that rejects them, since the calls of an earlier process wait there.
func TestBusyAdviserIsAskedAgain(t *testing.T) {
	a := newTurnAdviser(slowTerms)
	onAdvisedRig(t, a, []string{testPool}, func(r *advisedRig) {
		ctx, cancel := context.WithCancel(context.Background())
		for range maxWaitingCalls + 1 {
			go a.Advise(ctx, "former", []worker.ID{"w0"})
		}
		time.Sleep(100 * time.Millisecond)
		cancel()
		_, err := a.Advise(context.Background(), "former", nil)
		assert.Assert(t, errors.Is(err, worker.ErrAdviserBusy))
		before := a.calls.Load()
		r.submitToAll(3)
		r.awaitCompleted(40 * time.Second)
		assert.Assert(t, a.calls.Load()-before < 20, "%d calls", a.calls.Load()-before)
	})
}

// Guards against a pool that waits for good for an answer that does not come.
func TestSilentAdviserIsAskedAgain(t *testing.T) {
	a := newTurnAdviser(slowTerms)
	a.silentFor = 2
	onAdvisedRig(t, a, []string{testPool}, func(r *advisedRig) {
		r.submitToAll(4)
		r.awaitCompleted(16 * time.Second)
		assert.Equal(t, a.unheard.Load(), int32(0))
	})
}

// Guards against calls about jobs that were cancelled before their turn, which delay those of other jobs.
func TestAdviserIsNotAskedAboutCancelledJobs(t *testing.T) {
	a := newTurnAdviser(slowTerms)
	onAdvisedRig(t, a, []string{testPool}, func(r *advisedRig) {
		const cancelled = 20
		r.submitToAll(cancelled)
		for n := 1; n <= cancelled; n++ {
			assert.Equal(t, r.cancel(r.owners[0], n).Code, OK)
		}
		before := a.calls.Load()
		r.jobs++
		assert.Equal(t, r.submit(r.owners[0], simpleJob(r.jobs, 6)).Code, OK)
		r.awaitState(r.owners[0], r.jobs, job.Completed, 4*time.Second)
		assert.Assert(t, a.calls.Load()-before <= 2, "%d calls", a.calls.Load()-before)
	})
}

// Guards against jobs that wait for advice when their pools get a new owner.
func TestNextOwnerAsksForAdvice(t *testing.T) {
	a := newTurnAdviser(slowTerms)
	onAdvisedRig(t, a, []string{testPool, "other"}, func(r *advisedRig) {
		r.submitToAll(3)
		time.Sleep(500 * time.Millisecond)
		r.startOwners()
		r.awaitCompleted(20 * time.Second)
		assert.Equal(t, a.unheard.Load(), int32(0))
	})
}
