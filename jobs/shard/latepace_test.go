package shard

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
)

const (
	// servingTarget is the latency target of a serving task.
	servingTarget = 200 * time.Millisecond
	// latePaceDelay is how late an order on pace is carried out.
	latePaceDelay = 6 * time.Second
	// harmLimit is how long a serving task may exceed its target because of a best-effort one.
	harmLimit = 4 * time.Second
)

var servingTask, fillingTask = job.TaskRef{Job: testJobID(1)}, job.TaskRef{Job: testJobID(2)}

// pacedRig is a worker with a serving task, which exceeds its target while the best-effort task beside it works.
type pacedRig struct {
	*rig
	// load is by how many percent of its target a best-effort task at full pace raises the latency. Without load
	// the latency is half of the target, and with some load 0.85 of it beside a task that is paced to 0.
	load atomic.Int64
}

func onPacedRig(t *testing.T, test func(*pacedRig, *owner)) {
	onFakeTime(t, func(r *rig) {
		p := &pacedRig{rig: r}
		p.load.Store(200)
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: time.Hour} })
		r.fleet.Latency = func(task job.TaskRef, paces map[job.TaskRef]int) float64 {
			if task != servingTask {
				return 0
			}
			share, load := 0.85, float64(p.load.Load())/100
			if load == 0 {
				share = 0.5
			}
			return servingTarget.Seconds() * 1000 * (share + load*float64(paces[fillingTask])/100)
		}
		r.addWorkers(1)
		o := r.startOwner()
		time.Sleep(time.Second)
		serving, filling := simpleJob(1, 1), simpleJob(2, 1)
		serving.Steps[0].LongRunning, serving.Steps[0].LatencyTarget = true, servingTarget
		filling.Steps[0].LongRunning, filling.Steps[0].BestEffortCPU = true, true
		assert.Equal(t, r.submit(o, serving).Code, OK)
		assert.Equal(t, r.submit(o, filling).Code, OK)
		test(p, o)
	})
}

// delayPace delays the first order on pace from now on.
func (r *pacedRig) delayPace(delay time.Duration) *atomic.Bool {
	delayed := &atomic.Bool{}
	r.fleet.Delay = delay
	r.fleet.SetFault(func(_ worker.ID, order string) workertest.Fault {
		if order == "pace" && !delayed.Swap(true) {
			return workertest.Delayed
		}
		return workertest.NoFault
	})
	return delayed
}

// longestHarm returns the longest time in which the serving task exceeds its target.
func (r *pacedRig) longestHarm(watch time.Duration) (longest time.Duration) {
	began := time.Now()
	for end := began.Add(watch); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.fleet.Latency(servingTask, r.fleet.Paces("w0")) <= servingTarget.Seconds()*1000 {
			began = time.Now()
		}
		longest = max(longest, time.Since(began))
	}
	return longest
}

// Guards against an order on pace that is carried out after newer ones and stays in force.
func TestLatePaceDoesNotStayInForce(t *testing.T) {
	for _, delay := range []time.Duration{2 * time.Second, latePaceDelay, 12 * time.Second} {
		onPacedRig(t, func(r *pacedRig, _ *owner) {
			delayed := r.delayPace(delay)
			longest := r.longestHarm(40 * time.Second)
			assert.Assert(t, delayed.Load())
			assert.Assert(t, longest < harmLimit, "over the target for %v, delay %v", longest, delay)
		})
	}
}

// Guards against an order that lowers the pace and is carried out after it was raised, so that a best-effort task stays paced down.
func TestLateLowerPaceDoesNotStayInForce(t *testing.T) {
	onPacedRig(t, func(r *pacedRig, _ *owner) {
		r.load.Store(30)
		delayed := r.delayPace(14 * time.Second)
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, delayed.Load())
		r.load.Store(0)
		time.Sleep(20 * time.Second)
		assert.Equal(t, r.fleet.Paces("w0")[fillingTask], fullPace)
	})
}

// Guards against an order that raises the pace and is carried out after it was lowered again.
func TestLateRaisedPaceDoesNotStayInForce(t *testing.T) {
	onPacedRig(t, func(r *pacedRig, _ *owner) {
		time.Sleep(4 * time.Second)
		r.load.Store(0)
		time.Sleep(3 * time.Second)
		delayed := r.delayPace(latePaceDelay)
		time.Sleep(3 * time.Second)
		assert.Assert(t, delayed.Load())
		r.load.Store(200)
		longest := r.longestHarm(30 * time.Second)
		assert.Assert(t, longest < harmLimit, "over the target for %v", longest)
	})
}

// Guards against a next owner that takes the pace of a run for 0, although orders of the former owner may be late and its own
// first ones get no reply.
func TestNextOwnerPacesRuns(t *testing.T) {
	onPacedRig(t, func(r *pacedRig, o *owner) {
		r.load.Store(0)
		time.Sleep(3 * time.Second)
		r.delayPace(latePaceDelay)
		r.load.Store(200)
		time.Sleep(time.Second)
		began := time.Now()
		r.fleet.SetFault(func(_ worker.ID, order string) workertest.Fault {
			if order == "pace" && time.Since(began) < 3*time.Second {
				return workertest.RequestLost
			}
			return workertest.NoFault
		})
		r.replaceOwner(o)
		time.Sleep(3 * time.Second)
		longest := r.longestHarm(30 * time.Second)
		assert.Assert(t, longest < harmLimit, "over the target for %v", longest)
	})
}

// Guards against orders on pace without end after one without a reply.
func TestPaceIsOrderedAgainForAWhile(t *testing.T) {
	onPacedRig(t, func(r *pacedRig, _ *owner) {
		r.delayPace(latePaceDelay)
		time.Sleep(maxOrderDelay + 5*time.Second)
		var orders atomic.Int32
		r.fleet.SetFault(func(_ worker.ID, order string) workertest.Fault {
			if order == "pace" {
				orders.Add(1)
			}
			return workertest.NoFault
		})
		time.Sleep(20 * time.Second)
		assert.Equal(t, orders.Load(), int32(0))
	})
}
