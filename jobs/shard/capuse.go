package shard

import (
	"peridotcrank.dev/jobs/caps"
	"peridotcrank.dev/jobs/job"
)

// startResources returns the resources of one start of a step: a task, or a whole gang.
// Best-effort tasks count with the CPU that they request.
func startResources(spec *job.Step) job.Resources {
	if spec.Gang {
		return spec.Resources.Times(spec.Count)
	}
	return spec.Resources
}

// unreservedResources returns the resources of n tasks that workers do not reserve for them.
func unreservedResources(spec *job.Step, n int) job.Resources {
	return spec.Resources.Minus(spec.ReservedResources()).Times(n)
}

// countRun adds a run to the use of its workspace. found is set for a run that this owner
// did not start.
func (s *Shard) countRun(a *attempt, found bool) {
	a.found = found
	if a.task == nil {
		s.caps.unknownRuns++
		return
	}
	c := s.capOf(a.task.step.job)
	if c == nil {
		return
	}
	a.countedIn = c
	c.addRun(a, 1)
	if !found {
		c.waiting = atLeast(c.waiting.Minus(a.task.step.spec.Resources), job.Resources{})
	}
}

// uncountRun removes a run that certainly does not execute from the use of its workspace.
// Its start order continues to count until it is answered or expires.
func (s *Shard) uncountRun(a *attempt) {
	if a.task == nil {
		s.caps.unknownRuns--
	}
	c := a.countedIn
	if c == nil {
		return
	}
	c.addRun(a, -1)
	a.countedIn = nil
	if _, ok := s.unansweredStarts[a.worker.info.ID][a.key()]; ok {
		c.orphaned = c.orphaned.Plus(a.task.step.spec.Resources)
	}
}

func (c *workspaceCap) addRun(a *attempt, n int) {
	resources := a.task.step.spec.Resources.Times(n)
	if a.found {
		c.found = c.found.Plus(resources)
	} else {
		c.started = c.started.Plus(resources)
	}
}

// recountRuns counts all runs again after the set of workspaces with a cap has changed.
func (s *Shard) recountRuns() {
	s.caps.unknownRuns = 0
	for _, c := range s.caps.byName {
		c.started, c.found = job.Resources{}, job.Resources{}
	}
	for _, w := range s.workers {
		for _, a := range w.attempts {
			a.countedIn = nil
			s.countRun(a, a.found)
		}
	}
}

// refreshDemand computes what the workspaces with a cap use and request.
func (s *Shard) refreshDemand() {
	if s.active && s.unaccountedWorkers == 0 && s.caps.unknownRuns == 0 {
		s.caps.accounted = true
	}
	for _, c := range s.caps.byName {
		c.waiting, c.arriving, c.unreserved, c.orphaned = job.Resources{}, job.Resources{}, job.Resources{}, job.Resources{}
		c.largestStart = job.Resources{}
	}
	for step := range s.startableSteps {
		if c := s.capOf(step.job); c != nil && step.pending > 0 && step.job.canStartTasks() {
			c.waiting = c.waiting.Plus(step.spec.Resources.Times(step.pending))
			c.unreserved = c.unreserved.Plus(unreservedResources(step.spec, step.pending))
			c.largestStart = atLeast(c.largestStart, startResources(step.spec))
		}
	}
	for _, js := range s.journal.inserts {
		s.addArriving(js)
	}
	if s.journal.batch != nil {
		for _, js := range s.journal.batch.inserts {
			s.addArriving(js)
		}
	}
	s.countOrphanedStarts()
	s.caps.room = s.capacitySoon()
	for _, c := range s.caps.byName {
		if c.waiting == (job.Resources{}) {
			c.nextStart, c.heldBack = job.Resources{}, false
		}
	}
}

// capacitySoon returns the free capacity of the pool and a part of its capacity for runs
// that end soon. A full pool must not hold shares that it cannot use.
func (s *Shard) capacitySoon() job.Resources {
	var free, capacity job.Resources
	for _, w := range s.workers {
		if w.registered {
			free, capacity = free.Plus(w.free()), capacity.Plus(w.info.Capacity)
		}
	}
	return free.Plus(job.Resources{CPU: capacity.CPU / turnoverDivisor, MemoryMB: capacity.MemoryMB / turnoverDivisor, GPU: capacity.GPU / turnoverDivisor})
}

// atLeast returns the higher of both amounts of each resource.
func atLeast(r, least job.Resources) job.Resources {
	return job.Resources{CPU: max(r.CPU, least.CPU), MemoryMB: max(r.MemoryMB, least.MemoryMB), GPU: max(r.GPU, least.GPU)}
}

// atMost returns the lower of both amounts of each resource.
func atMost(r, limit job.Resources) job.Resources {
	return job.Resources{CPU: min(r.CPU, limit.CPU), MemoryMB: min(r.MemoryMB, limit.MemoryMB), GPU: min(r.GPU, limit.GPU)}
}

// addArriving adds the first tasks of a job that is not stored yet.
func (s *Shard) addArriving(js *jobState) {
	c := s.capOf(js)
	if c == nil || js.job.ScheduledOccurrences > 0 {
		return
	}
	for i := range js.job.Steps {
		if spec := &js.job.Steps[i]; len(spec.After) == 0 {
			c.arriving = c.arriving.Plus(spec.Resources.Times(spec.Count))
			c.unreserved = c.unreserved.Plus(unreservedResources(spec, spec.Count))
		}
	}
}

// countOrphanedStarts counts the unanswered starts without a counted attempt, also those of
// jobs that have ended.
func (s *Shard) countOrphanedStarts() {
	for id, starts := range s.unansweredStarts {
		w := s.workers[id]
		for key, start := range starts {
			if w != nil && w.attempts[key] != nil && w.attempts[key].countedIn != nil {
				continue
			}
			if c := s.capOf(start.step.job); c != nil {
				c.orphaned = c.orphaned.Plus(start.step.spec.Resources)
			}
		}
	}
}

// use returns the share that all runs of the workspace use in this pool. Until the runs of
// the former owner are known, all that it held counts as used.
func (c *workspaceCap) use(accounted bool) caps.Share {
	return c.useAfter(job.Resources{}, accounted)
}

// useAfter returns the share in use after the start of more runs.
func (c *workspaceCap) useAfter(start job.Resources, accounted bool) caps.Share {
	found := c.found
	if !accounted {
		found = atLeast(found, c.inherited)
	}
	return caps.ShareOf(c.started.Plus(c.orphaned).Plus(start).Plus(found), c.limit)
}

// usesWholeCap reports whether one more start of a step would exceed the cap of its workspace
// even if this pool held all of it.
func (s *Shard) usesWholeCap(step *stepState) bool {
	c := s.capOf(step.job)
	return c != nil && c.limit != (job.Resources{}) && c.useAfter(startResources(step.spec), s.caps.accounted) > caps.Whole
}

// capDemand returns the demand of a workspace in this pool.
func (s *Shard) capDemand(c *workspaceCap) caps.Demand {
	if c.limit == (job.Resources{}) {
		return caps.Demand{}
	}
	use := c.use(s.caps.accounted)
	need := use
	if !s.draining {
		// The shares of use and waiting tasks are rounded together, as the start is.
		need = c.useAfter(atMost(c.waiting.Plus(c.arriving), s.caps.room.Plus(c.unreserved)), s.caps.accounted)
	}
	now := s.opts.Clock()
	if now-c.peakWindowFrom >= peakWindow {
		c.peaks[0], c.peaks[1], c.peakWindowFrom = 0, c.peaks[0], now
	}
	c.peaks[0] = max(c.peaks[0], need)
	return caps.Demand{
		Use: use, Need: need, NextStart: caps.ShareOf(c.nextStart, c.limit), Step: caps.Whole / caps.Share(s.caps.pools+1),
		Peak: max(c.peaks[0], c.peaks[1]), Repair: c.unreadableSince > 0 && now-c.unreadableSince > repairDelay,
	}
}
