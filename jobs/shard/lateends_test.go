package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// Guards against a task that starts again although a status that was overtaken for long, the only one that lists the end of its run, shows it as done.
func TestOvertakenEndOfGivenUpRunIsApplied(t *testing.T) {
	withEvents(t, 1, func(r *eventRig) {
		o := r.startHour()
		r.callOnLoop(func() {
			o.ownsShard.Store(false) // The run still executes, so the task must not start again.
			w := o.workers["w0"]
			clear(o.statusCalls) // The hold that waits.
			o.beginQuarantine(w, 2)
			w.knownSince, w.fenceRaisedAt = o.opts.Clock()-2*maxOvertaken, o.nextLogicalTime()
			earlier := o.beginStatusCall(w.info.ID)
			o.handleStatus(w, o.nextLogicalTime(), o.status(w, time.Millisecond, endsOfUnknownJob(2)...))
			assert.Equal(t, len(w.attempts), 0)
			end := worker.RunEnd{Number: 1, Task: job.TaskRef{Job: testJobID(1)}, Run: 1, Outcome: worker.Done}
			o.handleStatus(w, earlier, o.status(w, -time.Millisecond, end))
			assert.Equal(t, o.jobs[testJobID(1)].outcome, job.Completed)
		})
	})
}
