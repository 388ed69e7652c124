package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/jobs/worker"
)

// Guards against a second run of a task whose end was lost with its worker before it was stored.
func TestWorkerWithUnstoredEndsIsNotVacated(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.startOwner()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 1)).Code, OK)
		time.Sleep(500 * time.Millisecond)
		r.store.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.Rejected })
		vacated := func() bool {
			var report Report
			r.callOnLoop(func() { report, _ = o.ApplyInstructions(Instructions{Vacate: []worker.ID{"w0"}}) })
			return report.Workers[0].Vacated
		}
		time.Sleep(time.Second)
		assert.Equal(t, r.fleet.Running(), 0)
		assert.Assert(t, !vacated(), "the end of the run is not stored")
		r.store.SetFault(nil)
		time.Sleep(time.Second)
		assert.Assert(t, vacated())
		r.fleet.Kill("w0") // Its VM is moved.
		r.callOnLoop(o.Stop)
		r.addWorkers(1)
		second := r.startOwner()
		r.awaitState(second, 1, job.Completed, 3*time.Second)
		assert.Equal(t, r.fleet.Starts(job.TaskRef{Job: testJobID(1)}), 1)
	})
}
