package shard

import (
	"time"

	"peridotcrank.dev/jobs/caps"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/scheduler"
)

// waitingDemand returns the resources of the waiting tasks that the caps of their workspaces
// permit to start: of those that can still complete in time and are within weight, and of
// the others.
func (s *Shard) waitingDemand(now time.Duration) (inTime, late job.Resources) {
	var lateSteps []*stepState
	room := map[*workspaceCap]caps.Share{}
	for step := range s.startableSteps {
		if !step.job.canStartTasks() || step.pending == 0 {
			continue
		}
		if key := s.sortKey(step.job, now); key.Class == scheduler.InTime && key.ExcessRound == 0 {
			inTime = inTime.Plus(s.permittedDemand(step, room))
		} else {
			lateSteps = append(lateSteps, step)
		}
	}
	for _, step := range lateSteps {
		late = late.Plus(s.permittedDemand(step, room))
	}
	return inTime, late
}

// permittedDemand returns the resources of the waiting tasks of a step for which its
// workspace has room under the cap, and reduces the room by them.
func (s *Shard) permittedDemand(step *stepState, room map[*workspaceCap]caps.Share) job.Resources {
	c := s.capOf(step.job)
	if c == nil || c.limit == (job.Resources{}) {
		return step.reservedResources(step.pending)
	}
	left, ok := room[c]
	if !ok {
		left = s.capRoom(c)
	}
	tasks := step.pending
	if share := caps.ShareOf(startResources(step.spec), c.limit); step.spec.Gang && share > left {
		tasks = 0
	} else if !step.spec.Gang && share > 0 {
		tasks = min(tasks, int(max(left, 0)/share))
	}
	room[c] = left - caps.ShareOf(step.spec.Resources.Times(tasks), c.limit)
	return step.reservedResources(tasks)
}

// capRoom returns the share that this pool could use in addition if its workers had free
// capacity for all waiting tasks. A pool that runs nothing of the workspace has room for one
// start: without workers it waits for no share, so its part would never become larger.
func (s *Shard) capRoom(c *workspaceCap) caps.Share {
	need := c.useAfter(c.waiting.Plus(c.arriving), s.caps.accounted)
	attainable, use := c.ledger.Attainable(need), c.use(s.caps.accounted)
	if use == 0 {
		return max(attainable, min(caps.ShareOf(c.largestStart, c.limit), caps.Whole))
	}
	return attainable - use
}

// reservedResources returns the resources that workers reserve for n tasks of a step.
func (s *stepState) reservedResources(n int) job.Resources {
	return s.spec.ReservedResources().Times(n)
}
