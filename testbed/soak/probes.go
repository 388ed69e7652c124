package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"peridotcrank.dev/jobs/job"
)

const (
	probeInterval     = 50 * time.Millisecond
	capSampleInterval = 10 * time.Millisecond
	// burstDivisor is the divisor of a cap that gives the permitted excess.
	burstDivisor = 10
)

// probeAccess sends calls about accepted jobs that must not succeed, until ctx ends.
func (c *callers) probeAccess(ctx context.Context, rng *rand.Rand) {
	for ; ctx.Err() == nil; pause(ctx, probeInterval) {
		if id, ok := c.randomAccepted(rng); ok {
			c.probeJob(id, rng)
		}
	}
}

func (c *callers) randomAccepted(rng *rand.Rand) (job.ID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.accepted) == 0 {
		return "", false
	}
	return c.accepted[rng.IntN(len(c.accepted))], true
}

// probeJob sends a call about a job with an invalid key of its workspace, and one with a
// valid key of another workspace.
func (c *callers) probeJob(id job.ID, rng *rand.Rand) {
	owner := workspaceOf(id)
	c.sendRequest(rng, http.MethodGet, id, c.run.keys.invalid(owner, rng), nil)
	other := (owner + 1 + rng.IntN(workspaceCount-1)) % workspaceCount
	method, body := http.MethodGet, []byte(nil)
	switch rng.IntN(3) {
	case 0:
		method = http.MethodDelete
	case 1:
		method, body = http.MethodPost, jobBody(id, 1)
	}
	if status, _ := c.sendRequest(rng, method, id, c.run.keys.valid(other, rng), body); isSuccess(status) {
		c.recordViolation("%s of job %s of %s by %s got status %d", method, id, workspaceName(owner), workspaceName(other), status)
	}
}

// watchCaps samples the running tasks until ctx ends, and records a violation when a
// workspace exceeds its cap.
func (r *run) watchCaps(ctx context.Context) {
	reported := map[int]bool{}
	for ; ctx.Err() == nil; pause(ctx, capSampleInterval) {
		for workspace, use := range excessUses(r.platform.Fleet.RunningTasks(), r.options.CapCPU) {
			if !reported[workspace] {
				reported[workspace] = true
				r.callers.recordViolation("%s runs %d of its cap of %d", workspaceName(workspace), use, r.options.CapCPU)
			}
		}
	}
}

// excessUses returns the CPU in use of each workspace that uses more than its cap with the
// permitted excess and one task.
func excessUses(running []job.TaskRef, capCPU int64) map[int]int64 {
	uses := map[int]int64{}
	for _, task := range running {
		uses[workspaceOf(task.Job)] += taskCPU
	}
	limit := capCPU + capCPU/burstDivisor + taskCPU
	for workspace, use := range uses {
		if use <= limit {
			delete(uses, workspace)
		}
	}
	return uses
}
