package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker/workertest"
)

// Guards against requesting VMs only after the work of a surge has arrived, and against
// taking a single job for a surge.
func TestRisingArrivalRateIsExtrapolated(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		o := r.startOwner()
		time.Sleep(time.Second)
		resources := job.Resources{CPU: 1000}
		r.callOnLoop(func() {
			now := o.opts.Clock()
			for i := range 10 {
				o.recentArrivals = append(o.recentArrivals, arrival{now - time.Duration(10-i)*20*time.Millisecond, resources})
			}
			rising := o.predictArrivalRate().CPU
			assert.Check(t, rising > 20_000, "%d", rising)
			o.recentArrivals = []arrival{{now, resources}}
			assert.Check(t, o.predictArrivalRate().CPU == 1000)
		})
		time.Sleep(2 * arrivalWindow)
		r.callOnLoop(func() { assert.Check(t, o.predictArrivalRate().CPU == 0) })
	})
}

// Guards against a pool that keeps its VMs for jobs that are already late, while
// another pool could use the VMs to complete its jobs in time.
func TestOverdueRunsAreReportedAsLate(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: 6 * time.Second} })
		o := r.startOwner()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 4)).Code, OK)
		time.Sleep(time.Second)
		report := func() (report Report) {
			o.callOnLoop(func() { report, _ = o.ApplyInstructions(Instructions{}) })
			return report
		}
		assert.Equal(t, report().Used.CPU, int64(4000))
		assert.Equal(t, report().Late.CPU, int64(0))
		time.Sleep(3 * time.Second) // The objective is 1.5 times 1.15 s and 1 s more.
		assert.Equal(t, report().Used.CPU, int64(0))
		assert.Equal(t, report().Late.CPU, int64(4000))
	})
}

// Guards against arrivals that are kept for the life of an owner from which no leader of the
// fleet requests a report.
func TestArrivalsAreBoundedWithoutReports(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		o := r.startOwner()
		r.callOnLoop(func() {
			for n := range 100 {
				o.recordArrival(newTestJobState(simpleJob(n, 1)))
				time.Sleep(arrivalWindow / 10)
			}
			assert.Check(t, len(o.recentArrivals) <= 11, "%d arrivals", len(o.recentArrivals))
		})
	})
}
