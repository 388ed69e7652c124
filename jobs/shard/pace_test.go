package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
)

// Guards against serving tasks that stay above their latency target because
// best-effort tasks on the same worker are not throttled, and against a pace that never recovers.
func TestNextPace(t *testing.T) {
	overTarget, wellUnder, nearTarget := colocation{hasServing: true, worstLatencyRatio: 1.4}, colocation{hasServing: true, worstLatencyRatio: 0.3}, colocation{hasServing: true, worstLatencyRatio: 0.9}
	pace, took := fullPace, time.Duration(0)
	for pace > 0 {
		pace = nextPace(pace, overTarget, paceChangeInterval)
		took += paceChangeInterval
	}
	assert.Assert(t, took < 4*time.Second, "the best-effort tasks were paused only after %v", took)
	assert.Equal(t, nextPace(0, wellUnder, paceRaiseInterval), paceRaise)
	assert.Equal(t, nextPace(50, nearTarget, paceRaiseInterval), 50)
	assert.Equal(t, nextPace(50, overTarget, paceChangeInterval/2), 50)
	assert.Equal(t, nextPace(30, colocation{}, 0), fullPace)
}

// Guards against taking the measurements of other tasks for the latency of serving
// tasks.
func TestColocation(t *testing.T) {
	step := func(fills bool, target time.Duration) *task {
		return &task{step: &stepState{spec: &job.Step{BestEffortCPU: fills, LatencyTarget: target}}}
	}
	w := &workerState{attempts: map[runKey]*attempt{
		{run: 1}: {task: step(true, 0), phase: running, measure: 4000},
		{run: 2}: {task: step(false, 100*time.Millisecond), phase: running, measure: 150},
		{run: 3}: {task: step(false, 0), phase: running, measure: 900},
		{run: 4}: {task: step(false, time.Millisecond), phase: stopping, measure: 900},
	}}
	c := w.colocation()
	assert.Equal(t, len(c.bestEffort), 1)
	assert.Assert(t, c.hasServing && c.worstLatencyRatio == 1.5)
}
