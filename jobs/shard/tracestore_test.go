package shard

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
)

// Guards against a task that starts twice after its owner has stopped, while the log does not
// tell what that owner had stored, and which transaction may still be applied.
func TestLastStoredEndsAreRecordedAtStop(t *testing.T) {
	withEvents(t, 1, func(r *eventRig) {
		first := r.startReady()
		assert.Equal(t, r.submit(first, simpleJob(1, 1)).Code, OK)
		r.awaitState(first, 1, job.Completed, 10*time.Second)
		var sequence uint64
		r.callOnLoop(func() { sequence = first.journal.sequence })
		r.store.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.ResponseLost })
		r.submitUnanswered(first, 2)
		time.Sleep(minCommitInterval + 50*time.Millisecond)
		r.callOnLoop(first.Stop)
		stored := r.events(eventlog.EndsStored)
		wantFields(t, stored[len(stored)-1], map[string]any{"last": true, "sequence": sequence, "in_flight": sequence + 1, "attempts": 1})
		r.store.SetFault(nil)
		second := r.startReady()
		claims := r.events(eventlog.HeadClaimed)
		wantFields(t, claims[1], map[string]any{"former_sequence": sequence + 1, "outcome": claimApplied})
		r.awaitState(second, 2, job.Completed, 10*time.Second)
		started := r.events(eventlog.TasksStarted)
		wantFields(t, started[len(started)-1], map[string]any{"inherited": true, "loaded_done": 0, "loaded_head": r.events(eventlog.ShardLoaded)[1].Fields["head"]})
	})
}

// submitUnanswered submits a job without waiting for a reply.
func (r *eventRig) submitUnanswered(o *owner, n int) {
	r.callOnLoop(func() { o.Submit(simpleJob(n, 1), func(Result) {}) })
}

// Guards against a transaction that counts as applied without an answer and leaves no line.
func TestTransactionFoundAppliedIsRecorded(t *testing.T) {
	withEvents(t, 1, func(r *eventRig) {
		o := r.startReady()
		var sequence uint64
		r.callOnLoop(func() { sequence = o.journal.sequence })
		r.store.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.ResponseLost })
		r.submitUnanswered(o, 1)
		time.Sleep(commitTimeout / 2)
		r.store.SetFault(nil)
		r.awaitState(o, 1, job.Completed, 10*time.Second)
		wantFields(t, r.only(eventlog.CommitFound), map[string]any{"sequence": sequence + 1, "attempts": 2, "fence": 1})
	})
}

// Guards against a claim without an answer that hides the former owner and its last transaction.
func TestUnansweredClaimIsRecorded(t *testing.T) {
	withEvents(t, 1, func(r *eventRig) {
		first := r.startReady()
		assert.Equal(t, r.submit(first, simpleJob(1, 1)).Code, OK)
		r.awaitState(first, 1, job.Completed, 10*time.Second)
		var sequence uint64
		r.callOnLoop(func() { sequence = first.journal.sequence; first.Stop() })
		r.store.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.ResponseLost })
		second := r.startOwner()
		time.Sleep(commitTimeout / 2)
		r.store.SetFault(nil)
		r.awaitState(second, 1, job.Completed, 10*time.Second)
		claims := r.events(eventlog.HeadClaimed)
		assert.Equal(t, len(claims), 3)
		wantFields(t, claims[1], map[string]any{"outcome": claimUnknown, "former_owner": "owner-1", "former_sequence": sequence, "generation": 2})
		wantFields(t, claims[2], map[string]any{"outcome": claimFound, "generation": 2})
	})
}

// Guards against an owner of many workers whose last lines leave out what some have stored.
func TestLastStoredEndsOfAllWorkersAreRecorded(t *testing.T) {
	const workers = 2*maxWorkersPerLine + 1
	withEvents(t, workers, func(r *eventRig) {
		o := r.startReady()
		assert.Equal(t, r.submit(o, simpleJob(1, 4*workers)).Code, OK)
		r.awaitState(o, 1, job.Completed, 10*time.Second)
		r.callOnLoop(o.Stop)
		stored := map[string]bool{}
		for _, e := range r.events(eventlog.EndsStored) {
			for _, number := range strings.Fields(e.Fields["numbers"].(string)) {
				stored[number] = true
			}
		}
		for _, info := range r.workerInfos {
			assert.Assert(t, stored[string(info.ID)+":4"], "%s of %v", info.ID, stored)
		}
	})
}
