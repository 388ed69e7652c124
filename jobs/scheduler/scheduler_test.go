package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
)

func node(cpu, memory int64, rack string, labels ...string) Node {
	r := job.Resources{CPU: cpu, MemoryMB: memory}
	return Node{Free: r, Capacity: r, Rack: rack, Labels: append(labels, rack)}
}

func step(cpu, memory int64) *job.Step {
	return &job.Step{Count: 1, Resources: job.Resources{CPU: cpu, MemoryMB: memory}}
}

func none(int) int { return 0 }

// Guards against a worker that has too little of one resource, lacks the
// label, or has its share of the step.
func TestChooseKeepsBounds(t *testing.T) {
	nodes := []Node{node(1000, 500, "r1"), node(500, 4000, "r1"), node(2000, 4000, "r2", "fast")}
	assert.Equal(t, Choose(nodes, Constraint{Step: step(1000, 1000), OnNode: none}), 2)
	assert.Equal(t, Choose(nodes, Constraint{Step: step(3000, 1), OnNode: none}), None)
	labelled := step(100, 100)
	labelled.RequiredLabel = "fast"
	assert.Equal(t, Choose(nodes, Constraint{Step: labelled, OnNode: none}), 2)
	bounded := step(100, 100)
	bounded.MaxPerWorker = 1
	assert.Equal(t, Choose(nodes, Constraint{Step: bounded, OnNode: func(i int) int { return 1 - i/2 }}), 2)
}

// Guards against a small task that takes the only room for a large one, and
// against one that ends up far from its data.
func TestChoosePrefersNearAndTight(t *testing.T) {
	nodes := []Node{node(8000, 8000, "r1"), node(1500, 8000, "r1"), node(4000, 8000, "r2")}
	assert.Equal(t, Choose(nodes, Constraint{Step: step(1000, 100), OnNode: none}), 1)
	near := step(1000, 100)
	near.PreferredRack = "r2"
	assert.Equal(t, Choose(nodes, Constraint{Step: near, OnNode: none}), 2)
}

// Guards against a long-running task that is placed on a worker from which it must
// be moved again soon, and against short tasks that leave that room unused.
func TestLongRunningTasksAvoidWorkersDueForMaintenance(t *testing.T) {
	nodes := []Node{node(1500, 8000, "r1"), node(8000, 8000, "r1")}
	nodes[0].Due = true
	lasting := step(1000, 100)
	lasting.LongRunning = true
	assert.Equal(t, Choose(nodes, Constraint{Step: lasting, OnNode: none}), 1)
	assert.Equal(t, Choose(nodes, Constraint{Step: step(1000, 100), OnNode: none}), 0)
	nodes[1].Free = job.Resources{}
	assert.Equal(t, Choose(nodes, Constraint{Step: lasting, OnNode: none}), 0)
}

// Guards against a gang of which some members find no room, and against one
// that is spread over racks although one has room.
func TestChooseAll(t *testing.T) {
	nodes := []Node{node(2000, 8000, "r1"), node(2000, 8000, "r2"), node(2000, 8000, "r2")}
	s := step(1000, 100)
	s.SameRack = true
	assert.DeepEqual(t, ChooseAll(nodes, s, 4, nil), []int{1, 1, 2, 2})
	assert.Equal(t, len(ChooseAll(nodes, s, 6, nil)), 6)
	assert.Assert(t, ChooseAll(nodes, s, 7, nil) == nil)
}

// Guards against predictions that follow worthless estimates, or ignore good ones.
func TestDurations(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var good, bad Durations
	for range 400 {
		actual := time.Duration(200+rng.IntN(1500)) * time.Millisecond
		good.Observe(time.Duration(float64(actual)*(0.9+0.2*rng.Float64())), actual)
		bad.Observe(time.Duration(100+rng.IntN(3000))*time.Millisecond, actual)
	}
	assert.Assert(t, good.Predict(400*time.Millisecond) < 500*time.Millisecond)
	assert.Assert(t, good.Predict(1600*time.Millisecond) > 1300*time.Millisecond)
	low, high := bad.Predict(100*time.Millisecond), bad.Predict(3*time.Second)
	assert.Assert(t, high < 2*low, "%v %v", low, high)
	var fresh Durations
	assert.Equal(t, fresh.Predict(0), fallback)
}

// Guards against the domino effect of a surge: twice the room is asked for, and
// in order of arrival nearly all jobs would be late.
func TestSurgeServesJobsInTime(t *testing.T) {
	byArrival, byTurn := playSurge(false), playSurge(true)
	t.Logf("in time: %d by arrival, %d by turn", byArrival, byTurn)
	assert.Assert(t, byTurn > 2*byArrival)
}

const (
	surgeJobs  = 400
	surgeRoom  = 20
	surgeTick  = 50 * time.Millisecond
	surgeLimit = 2 * time.Second
)

// playSurge serves jobs of one second on a pool that takes half of those that
// come for ten seconds, and returns how many were in time.
func playSurge(turns bool) (inTime int) {
	type waiting struct {
		work Work
		n    uint64
	}
	var queue []waiting
	var running []time.Duration // Ends.
	var ends []Work
	for now := time.Duration(0); now < time.Minute; now += surgeTick {
		if n := uint64(now / surgeTick * 2); n < surgeJobs {
			for i := range uint64(2) {
				queue = append(queue, waiting{Work{Submitted: now, Objective: surgeLimit, Chain: time.Second, Load: 1}, n + i})
			}
		}
		for i := 0; i < len(running); i++ {
			if running[i] <= now {
				if now-ends[i].Submitted <= ends[i].Objective {
					inTime++
				}
				running, ends = append(running[:i], running[i+1:]...), append(ends[:i], ends[i+1:]...)
				i--
			}
		}
		for len(queue) > 0 && len(running) < surgeRoom {
			best := 0
			for i := range queue {
				a := Turn{Class: queue[i].work.ClassAt(now), Load: queue[i].work.Load, Sequence: queue[i].n}
				b := Turn{Class: queue[best].work.ClassAt(now), Load: queue[best].work.Load, Sequence: queue[best].n}
				if turns && a.Compare(b) < 0 {
					best = i
				}
			}
			running, ends = append(running, now+time.Second), append(ends, queue[best].work)
			queue = append(queue[:best], queue[best+1:]...)
		}
	}
	return inTime
}
