package shard

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
)

// chainJob returns a job of a chain of steps, each of which names all earlier ones and an image.
func chainJob(n, steps int, image func(int) string) *job.Job {
	j := simpleJob(n, 1)
	for i := 1; i < steps; i++ {
		step := j.Steps[0]
		step.Image = image(i)
		for before := range i {
			step.After = append(step.After, before)
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

// Guards against one large job that keeps its pool from storing anything: cancels without a
// reply, jobs that have ended and are shown as running, and refused submissions.
func TestLargeJobDoesNotStopThePool(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(4)
		o := r.startOwner()
		time.Sleep(time.Second)
		assert.Equal(t, r.submit(o, simpleJob(1, 2)).Code, OK)
		large := chainJob(2, 250, func(i int) string { return fmt.Sprintf("registry/%s/step-%03d", strings.Repeat("pipeline-", 10), i) })
		assert.Equal(t, r.submit(o, large).Code, OK)
		tooLarge := chainJob(3, 250, func(int) string {
			random := make([]byte, 200)
			rand.Read(random)
			return hex.EncodeToString(random)
		})
		refusal := r.submit(o, tooLarge)
		assert.Equal(t, refusal.Code, Invalid)
		assert.Assert(t, strings.Contains(refusal.Detail, "bytes"), refusal.Detail)
		assert.Equal(t, r.submit(o, simpleJob(4, 1)).Code, OK)
		r.awaitState(o, 1, job.Completed, 5*time.Second)
		o = r.replaceOwner(o)
		r.awaitState(o, 4, job.Completed, 15*time.Second)
		assert.Equal(t, r.cancel(o, 2).Code, OK)
	})
}
