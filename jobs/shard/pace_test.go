package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
)

// Guards against serving tasks that stay over their target because of tasks
// that fill beside them, and against a pace that never recovers.
func TestNextPace(t *testing.T) {
	over, well, near := sharing{serves: true, worst: 1.4}, sharing{serves: true, worst: 0.3}, sharing{serves: true, worst: 0.9}
	pace, took := fullPace, time.Duration(0)
	for pace > 0 {
		pace = nextPace(pace, over, paceGap)
		took += paceGap
	}
	assert.Assert(t, took < 4*time.Second, "%v until the filling tasks stand still", took)
	assert.Equal(t, nextPace(0, well, raiseGap), paceRaise)
	assert.Equal(t, nextPace(50, near, raiseGap), 50)
	assert.Equal(t, nextPace(50, over, paceGap/2), 50)
	assert.Equal(t, nextPace(30, sharing{}, 0), fullPace)
}

// Guards against figures of other tasks that are taken for those of serving ones.
func TestSharing(t *testing.T) {
	step := func(fills bool, target time.Duration) *task {
		return &task{step: &stepState{spec: &job.Step{BestEffortCPU: fills, LatencyTarget: target}}}
	}
	w := &workerState{attempts: map[runKey]*attempt{
		{run: 1}: {task: step(true, 0), phase: running, measure: 4000},
		{run: 2}: {task: step(false, 100*time.Millisecond), phase: running, measure: 150},
		{run: 3}: {task: step(false, 0), phase: running, measure: 900},
		{run: 4}: {task: step(false, time.Millisecond), phase: stopping, measure: 900},
	}}
	sh := w.sharing()
	assert.Equal(t, len(sh.fills), 1)
	assert.Assert(t, sh.serves && sh.worst == 1.5)
}
