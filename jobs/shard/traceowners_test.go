package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// startAgain starts a second owner object under the ownership of another one, and waits until it is active.
func (r *eventRig) startAgain(first *owner) *owner {
	o := r.startObject(first)
	time.Sleep(time.Second)
	return o
}

// Guards against a shard that is lost to the fence of a worker while the log does not tell which
// worker refused which order.
func TestLossNamesTheRefusedOrder(t *testing.T) {
	for _, c := range []struct {
		order  workerOrder
		refuse func(*owner, *attempt, uint64)
	}{
		{orderHold, func(o *owner, a *attempt, fence uint64) { o.handleHoldError(a.worker, fence, worker.ErrFenced) }},
		{orderStart, func(o *owner, a *attempt, fence uint64) { o.handleStartReply(a, fence, 0, worker.ErrFenced) }},
		{orderStop, func(o *owner, a *attempt, fence uint64) { o.handleStopReply(a, fence, 0, worker.ErrFenced) }},
	} {
		t.Run(string(c.order), func(t *testing.T) {
			withEvents(t, 1, func(r *eventRig) {
				o := r.startHour()
				var fence uint64
				r.callOnLoop(func() {
					w := o.workers["w0"]
					fence = w.fence
					c.refuse(o, w.attempts[runKey{job.TaskRef{Job: testJobID(1)}, 1}], fence)
				})
				assert.Assert(t, o.lost.Load())
				wantFields(t, r.only(eventlog.ShardLost), map[string]any{
					"reason": lostToHigherFence, "worker": "w0", "born": 1, "order": c.order, "order_fence": fence, "worker_fence": fence, "fence": 1, "generation": 1,
				})
			})
		})
	}
}

// Guards against a shard that is lost to the head row while the log does not tell whether another
// owner wrote it, or another owner object under the same ownership.
func TestLossNamesTheOwnerOfTheHeadRow(t *testing.T) {
	withEvents(t, 1, func(r *eventRig) {
		first := r.startReady()
		second := r.startAgain(first)
		var sequence, ownSequence uint64
		var head any
		r.callOnLoop(func() {
			sequence, head, ownSequence = second.journal.sequence, second.journal.head, first.journal.sequence
		})
		r.submitUnanswered(first, 2)
		time.Sleep(time.Second)
		assert.Assert(t, first.lost.Load() && !second.lost.Load())
		wantFields(t, r.only(eventlog.ShardLost), map[string]any{
			"owner": "owner-1", "head_owner": "owner-1", "head_fence": 1, "head_generation": 2, "head_sequence": sequence, "head": head, "sequence": ownSequence,
			"sent_sequence": ownSequence + 1, "attempts": 1,
		})
	})
}

// Guards against a claim that gives way to a newer owner whom the log does not name.
func TestLossDuringTheClaimNamesTheNewerOwner(t *testing.T) {
	withEvents(t, 1, func(r *eventRig) {
		former := &owner{}
		r.startOwnerOf(testPool, func(s *Shard) { former.Shard = s; s.stopped = true })
		r.startReady()
		r.callOnLoop(func() { former.stopped = false; former.Start() })
		time.Sleep(time.Second)
		wantFields(t, r.only(eventlog.ShardLost), map[string]any{"owner": "owner-1", "fence": 1, "head_owner": "owner-2", "head_fence": 2, "head_generation": 1})
	})
}

// Guards against two owner objects of one shard under one ownership whose lines look like those of one.
func TestLinesTellOwnerObjectsApart(t *testing.T) {
	withEvents(t, 1, func(r *eventRig) {
		first := r.startHour()
		second := r.startAgain(first)
		r.applyEnds(second, unknownJob, 1)
		r.callOnLoop(func() {
			w := second.workers["w0"]
			second.ownsShard.Store(false) // The run of the first owner goes on.
			second.applyStatus(w, second.nextLogicalTime(), statusWithRuns(w, unknownJob, 0, 1))
			second.relinquish("test", nil)
		})
		for _, code := range []eventlog.Code{eventlog.HeadClaimed, eventlog.ShardLoaded} {
			lines := r.events(code)
			assert.Equal(t, len(lines), 2)
			wantFields(t, lines[0], map[string]any{"fence": 1, "generation": 1, "acquisition": 1})
			wantFields(t, lines[1], map[string]any{"fence": 1, "generation": 2, "acquisition": 2})
		}
		wantFields(t, r.events(eventlog.HeadClaimed)[1], map[string]any{"outcome": claimApplied, "former_owner": "owner-1"})
		wantFields(t, r.only(eventlog.TasksStarted), map[string]any{"fence": 1, "acquisition": 1})
		for _, code := range []eventlog.Code{eventlog.EndIgnored, eventlog.StopOrdered, eventlog.ShardLost} {
			wantFields(t, r.events(code)[0], map[string]any{"fence": 1, "generation": 2, "acquisition": 2})
		}
	})
}
