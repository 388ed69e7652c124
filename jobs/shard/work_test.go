package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker/workertest"
)

// Guards against a surge whose VMs are asked for only once the work is there,
// and against a single job that is taken for a surge.
func TestRisingRateIsLookedAhead(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		o := r.own()
		time.Sleep(time.Second)
		each := job.Resources{CPU: 1000}
		r.do(func() {
			now := o.o.Clock()
			for i := range 10 {
				o.recent = append(o.recent, arrival{now - time.Duration(10-i)*20*time.Millisecond, each})
			}
			rising := o.arriving().CPU
			assert.Check(t, rising > 20_000, "%d", rising)
			o.recent = []arrival{{now, each}}
			assert.Check(t, o.arriving().CPU == 1000)
		})
		time.Sleep(2 * arrivalWindow)
		r.do(func() { assert.Check(t, o.arriving().CPU == 0) })
	})
}

// Guards against a pool that holds its VMs for jobs that are late anyway, while the
// jobs of another pool could still be in time with them.
func TestOverdueRunsAreReportedAsLate(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(2)
		r.fleet.SetRunPlan(func(job.TaskRef, int) workertest.RunPlan { return workertest.RunPlan{Duration: 6 * time.Second} })
		o := r.own()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 4)).Code, OK)
		time.Sleep(time.Second)
		report := func() (report Report) {
			o.do(func() { report, _ = o.Report(Orders{}) })
			return report
		}
		assert.Equal(t, report().Used.CPU, int64(4000))
		assert.Equal(t, report().Late.CPU, int64(0))
		time.Sleep(3 * time.Second) // The objective is 1.5 times 1.15 s and 1 s more.
		assert.Equal(t, report().Used.CPU, int64(0))
		assert.Equal(t, report().Late.CPU, int64(4000))
	})
}
