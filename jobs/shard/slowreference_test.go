package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/worker"
)

// Guards against tasks of a cut worker that never start again because the replies of the other
// workers, which their holds accept, are too slow for the check of its silence.
func TestTasksOfCutWorkerStartAgainBesideSlowWorkers(t *testing.T) {
	for _, delay := range []time.Duration{orderTimeout - 50*time.Millisecond, orderTimeout + 50*time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			onFakeTime(t, func(r *rig) {
				o := startLongTasks(r)
				r.cutBusiestWorkers(o, 1)
				r.fleet.SetReplyDelay(func(worker.ID) time.Duration { return delay })
				time.Sleep(restartBound + 20*time.Second)
				assert.Equal(t, r.fleet.Running(), 2*cutTestWorkers)
			})
		})
	}
}

// Guards against the same beside one other worker whose replies are late now and then.
func TestTasksOfCutWorkerStartAgainBesideOneUnsteadyWorker(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		o := startLongTasks(r)
		for _, info := range r.workerInfos[2:] {
			r.fleet.SetPartitioned(info.ID, true)
		}
		time.Sleep(restartBound + 5*time.Second)
		n := 0
		r.fleet.SetReplyDelay(func(id worker.ID) time.Duration {
			if n++; n%4 == 0 {
				return 700 * time.Millisecond
			}
			return 0
		})
		r.fleet.SetPartitioned("w0", true)
		time.Sleep(restartBound + 20*time.Second)
		left := 0
		o.callOnLoop(func() { left = len(o.workers["w0"].attempts) })
		assert.Equal(t, left, 0, "the runs of the cut worker are not given up")
	})
}
