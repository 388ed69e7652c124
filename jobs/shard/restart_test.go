package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
)

// Guards against an acknowledgement for the ends of one incarnation of a worker that
// reaches the next incarnation, which then forgets ends that the owner has not seen.
func TestAcknowledgementDoesNotReachNextIncarnation(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.startOwner()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 4)).Code, OK)
		r.awaitState(o, 1, job.Completed, 3*time.Second)
		time.Sleep(time.Second)
		restarted := r.workerInfos[0]
		restarted.StartedUnixMs++
		r.fleet.Add(restarted) // The hold in flight gets no reply, and the registry has not changed.
		assert.Equal(t, r.submit(o, simpleJob(2, 2)).Code, OK)
		r.awaitState(o, 2, job.Completed, 20*time.Second)
	})
}
