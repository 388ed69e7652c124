package shard

import (
	"slices"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/scheduler"
	"peridotcrank.dev/jobs/workspaces"
)

// fairShares decides which jobs are in excess of the weight of their workspace.
type fairShares struct {
	limits scheduler.RateLimits
	// excess are the jobs in excess that have not ended, by workspace.
	excess     map[job.Workspace]map[*jobState]struct{}
	counts     map[job.Workspace]*ExcessCounts // Since the last event.
	recordedAt time.Duration                   // When the last event was recorded.
	backlog    backlog
	// held are the workers that the last placement pass kept excess jobs off.
	held map[*workerState]struct{}
}

// ExcessCounts are the numbers of excess jobs of a workspace by what became of them.
type ExcessCounts struct {
	Accepted    int // Stored as excess jobs.
	Promoted    int // Counted as within weight later, when the workspace had tokens.
	RefusedLate int // Refused because they were not expected to complete in time.
	RefusedFull int // Refused because too many excess jobs of the workspace wait.
}

// ExcessOutcome is what became of a job in excess of its workspace's weight.
type ExcessOutcome uint8

// Outcomes of excess jobs; see [ExcessCounts].
const (
	ExcessAccepted ExcessOutcome = iota
	ExcessPromoted
	ExcessRefusedLate
	ExcessRefusedFull
)

// String returns the name of the outcome in metrics.
func (o ExcessOutcome) String() string {
	switch o {
	case ExcessAccepted:
		return "accepted"
	case ExcessPromoted:
		return "promoted"
	case ExcessRefusedLate:
		return "refused-late"
	}
	return "refused-full"
}

func (c *ExcessCounts) add(o ExcessOutcome) {
	switch o {
	case ExcessAccepted:
		c.Accepted++
	case ExcessPromoted:
		c.Promoted++
	case ExcessRefusedLate:
		c.RefusedLate++
	case ExcessRefusedFull:
		c.RefusedFull++
	}
}

// refusal is the reason for which an excess job is not accepted.
type refusal struct {
	outcome    ExcessOutcome
	retryAfter time.Duration
}

// isRateLimited reports whether the weight of a workspace applies to a job.
func isRateLimited(j *job.Job) bool {
	return j.Workspace != "" && j.ScheduledOccurrences == 0 && !j.LongRunning()
}

// admit decides whether a new job is accepted, and marks it if it is in excess of the
// weight of its workspace. It returns nil for an accepted job.
func (s *Shard) admit(js *jobState) *refusal {
	w, ok := s.workspaces.Find(js.job.Workspace)
	if !ok || !isRateLimited(js.job) {
		return nil
	}
	now := s.opts.Clock()
	waiting := s.waitingForToken(w.Name, now)
	if waiting == 0 && s.fair.limits.Allow(w, now) {
		return nil
	}
	js.excessRound = s.fair.limits.NextExcessRound(w, now)
	if !s.canStartNow(js.job, w) {
		if r := s.refuseExcess(js, w, waiting, now); r != nil {
			s.countExcess(w.Name, r.outcome)
			return r
		}
	}
	s.fair.limits.RecordExcess(w, now)
	s.addExcess(js)
	s.countExcess(w.Name, ExcessAccepted)
	return nil
}

// maxStalledFactor is the multiple of the usual bound on waiting excess jobs that applies
// while capacity is free. Stored jobs that wait although capacity is free wait for
// something else, such as advice.
const maxStalledFactor = 8

// canStartNow reports whether capacity is free for a new excess job and the workspace
// does not have too many stored jobs that free capacity is of no use to.
func (s *Shard) canStartNow(j *job.Job, w workspaces.Workspace) bool {
	if !s.hasFreeCapacity(j) {
		return false
	}
	stalled := 0
	for js := range s.fair.excess[w.Name] {
		if js.stored && js.awaitsCapacity() {
			stalled++
		}
	}
	return stalled < maxStalledFactor*scheduler.MaxWaitingExcess(w)
}

// refuseExcess returns the reason to refuse an excess job for which no capacity is free,
// or nil if it is expected to complete within its objective.
func (s *Shard) refuseExcess(js *jobState, w workspaces.Workspace, waitingForToken int, now time.Duration) *refusal {
	asExcess, withToken := s.poolLoads(js, now)
	slack := asExcess.Slack(s.remainingWork(js), pendingWork(s, js))
	untilToken := s.fair.limits.TimeUntilToken(w, waitingForToken, now)
	untilFits := min(asExcess.ExpectedWait(), untilToken+withToken.ExpectedWait()) - slack
	retryAfter := scheduler.RetryAfter(js.job.ID, untilFits)
	switch {
	case s.waitingExcess(w.Name) >= scheduler.MaxWaitingExcess(w):
		return &refusal{ExcessRefusedFull, retryAfter}
	case untilFits > 0:
		return &refusal{ExcessRefusedLate, retryAfter}
	}
	return nil
}

// addExcess adds an accepted job to the excess jobs of its workspace.
func (s *Shard) addExcess(js *jobState) {
	if s.fair.excess == nil {
		s.fair.excess = map[job.Workspace]map[*jobState]struct{}{}
	}
	of := s.fair.excess[js.job.Workspace]
	if of == nil {
		of = map[*jobState]struct{}{}
		s.fair.excess[js.job.Workspace] = of
	}
	of[js] = struct{}{}
}

// removeExcess removes a job from the excess jobs of its workspace.
func (s *Shard) removeExcess(js *jobState) {
	of := s.fair.excess[js.job.Workspace]
	delete(of, js)
	if len(of) == 0 {
		delete(s.fair.excess, js.job.Workspace)
	}
}

// waitingExcess returns the number of excess jobs of a workspace that wait for capacity.
func (s *Shard) waitingExcess(name job.Workspace) (n int) {
	for js := range s.fair.excess[name] {
		if js.awaitsCapacity() {
			n++
		}
	}
	return n
}

// waitingForToken returns the number of excess jobs of a workspace that wait and can still
// complete in time, so that a token is of use to them.
func (s *Shard) waitingForToken(name job.Workspace, now time.Duration) (n int) {
	for js := range s.fair.excess[name] {
		if s.canUseToken(js, now) {
			n++
		}
	}
	return n
}

func (s *Shard) canUseToken(js *jobState, now time.Duration) bool {
	return js.outcome == 0 && js.hasPendingTasks() && s.remainingWork(js).ClassAt(now) == scheduler.InTime
}

func (js *jobState) hasPendingTasks() bool {
	return slices.ContainsFunc(js.steps, func(step *stepState) bool { return step.pending > 0 })
}

// promoteExcessJobs counts waiting excess jobs as within the weight of their workspace
// while it has tokens, in the order in which they are served.
func (s *Shard) promoteExcessJobs() {
	now := s.opts.Clock()
	for name, jobs := range s.fair.excess {
		w, ok := s.workspaces.Find(name)
		if !ok {
			continue
		}
		var waiting []*jobState
		for js := range jobs {
			if s.canUseToken(js, now) {
				waiting = append(waiting, js)
			}
		}
		slices.SortFunc(waiting, func(a, b *jobState) int { return s.sortKey(a, now).Compare(s.sortKey(b, now)) })
		for _, js := range waiting {
			if !s.fair.limits.Allow(w, now) {
				break
			}
			s.countAsWithinWeight(js)
			s.countExcess(name, ExcessPromoted)
		}
	}
}

// countAsWithinWeight removes the mark of an excess job.
func (s *Shard) countAsWithinWeight(js *jobState) {
	js.excessRound = 0
	s.removeExcess(js)
	if js.stored {
		s.recordArrival(js)
	}
}

// applyWeights adapts the marks and token buckets to changed workspaces. The jobs of a
// workspace without weight are in excess of nothing.
func (s *Shard) applyWeights() {
	s.fair.limits.Retain(s.workspaces)
	for name, jobs := range s.fair.excess {
		if _, ok := s.workspaces.Find(name); ok {
			continue
		}
		for js := range jobs {
			s.countAsWithinWeight(js)
		}
	}
}

// hasFreeCapacity reports whether capacity for a task of the first step of a new job, or
// for all of a gang, is free, not held for a step within weight, and not needed by jobs
// that have not been placed yet.
func (s *Shard) hasFreeCapacity(j *job.Job) bool {
	first := &j.Steps[0]
	required := first.ReservedResources()
	if first.Gang {
		required = required.Times(first.Count)
	}
	if !required.Fits(s.freeResources()) {
		return false // The common case in a full pool, which needs no placement pass.
	}
	if s.placementNeeded {
		s.placeWaitingTasks() // Waiting tasks come before a new job.
	}
	if !required.Fits(s.freeResources().Minus(s.unplacedResources())) {
		return false
	}
	p := s.newPlacementPass(s.opts.Clock())
	p.held = s.fair.held
	if first.Gang {
		return scheduler.ChooseGangNodes(p.nodes, first, first.Count, p.isNotHeld) != nil
	}
	c := scheduler.Constraint{Step: first, Permits: p.isNotHeld, TasksOnNode: func(int) int { return 0 }}
	return scheduler.ChooseNode(p.nodes, c) != scheduler.None
}

// freeResources returns the free capacity of the workers that can receive excess tasks.
func (s *Shard) freeResources() (sum job.Resources) {
	now := s.opts.Clock()
	for _, w := range s.workers {
		if _, held := s.fair.held[w]; !held && s.canReceiveTasks(w, now) {
			sum = sum.Plus(w.free())
		}
	}
	return sum
}

// unplacedResources returns the resources that the first steps of accepted jobs need
// whose rows are not committed yet.
func (s *Shard) unplacedResources() (sum job.Resources) {
	add := func(jobs []*jobState) {
		for _, js := range jobs {
			if js.outcome == 0 {
				first := &js.job.Steps[0]
				sum = sum.Plus(first.ReservedResources().Times(first.Count))
			}
		}
	}
	add(s.journal.inserts)
	if s.journal.batch != nil {
		add(s.journal.batch.inserts)
	}
	return sum
}

// holdWorkersFor keeps the excess jobs of this pass off workers because a step within
// weight has found none with enough free capacity. Small excess tasks would otherwise
// take each core that becomes free, and a large task or a gang would wait for the end of
// the overload. A job that is overdue, or that waits for its workspace's runs to end because
// of the cap, holds no workers.
//
// In a pool in use, all workers are held: with a free core only on a worker that is held,
// the next small task within weight would take it. In a pool that is mostly free, the
// workers are held on which the step will run.
func (p *placementPass) holdWorkersFor(step *stepState) {
	s := p.shard
	if len(s.fair.excess) == 0 || len(p.held) == len(p.workers) || step.job.excessRound > 0 || s.advicePolicy(step).TicketRequired() {
		return
	}
	if s.sortKey(step.job, p.now).Class == scheduler.Overdue || s.usesWholeCap(step) {
		return
	}
	nodes := p.nodesAfterShortTasks(step)
	if len(nodes) == 0 {
		return
	}
	if p.held == nil {
		p.held = map[*workerState]struct{}{}
	}
	if p.isInUse() {
		for _, w := range p.workers {
			p.held[w] = struct{}{}
		}
	}
	for _, i := range nodes {
		p.held[p.workers[i]] = struct{}{}
	}
}

// minUsedToHold is the share of the capacity in use from which all workers are held.
const minUsedToHold = 0.5

// isInUse reports whether more than minUsedToHold of the CPU or memory is in use.
func (p *placementPass) isInUse() bool {
	var free, capacity job.Resources
	for i := range p.nodes {
		free, capacity = free.Plus(p.nodes[i].Free), capacity.Plus(p.nodes[i].Capacity)
	}
	return float64(free.CPU) < (1-minUsedToHold)*float64(capacity.CPU) || float64(free.MemoryMB) < (1-minUsedToHold)*float64(capacity.MemoryMB)
}

// isNotHeld reports whether excess jobs may run on a node.
func (p *placementPass) isNotHeld(node int) bool {
	_, held := p.held[p.workers[node]]
	return !held
}

// permits returns a function that reports whether a step may run on a node, or nil if it
// may run on all nodes.
func (p *placementPass) permits(step *stepState) func(node int) bool {
	advised := p.nodeFilter(step)
	switch {
	case step.job.excessRound == 0 || len(p.held) == 0:
		return advised
	case advised == nil:
		return p.isNotHeld
	}
	return func(node int) bool { return p.isNotHeld(node) && advised(node) }
}

// nodesAfterShortTasks returns nodes, not held yet, on which a task of a step or all of a
// gang would fit if only long-running tasks were running; none if there are none. For a
// task it is the node with the most free CPU, which is likely to have room first.
func (p *placementPass) nodesAfterShortTasks(step *stepState) []int {
	nodes := slices.Clone(p.nodes)
	for i, w := range p.workers {
		if _, held := p.held[w]; held {
			nodes[i].Free = job.Resources{CPU: -1}
			continue
		}
		nodes[i].Free = w.info.Capacity.Minus(w.longRunningResources())
	}
	if step.spec.Gang {
		return scheduler.ChooseGangNodes(nodes, step.spec, step.spec.Count, nil)
	}
	best := scheduler.None
	c := scheduler.Constraint{Step: step.spec, TasksOnNode: func(i int) int { return tasksOnWorker(p.workers[i], step) }}
	for i := range nodes {
		if !scheduler.IsEligible(&nodes[i], c, i) {
			continue
		}
		if best == scheduler.None || p.nodes[i].Free.CPU > p.nodes[best].Free.CPU {
			best = i
		}
	}
	if best == scheduler.None {
		return nil
	}
	return []int{best}
}

const excessEventInterval = time.Second

// countExcess counts what became of an excess job.
func (s *Shard) countExcess(name job.Workspace, outcome ExcessOutcome) {
	if s.fair.counts == nil {
		s.fair.counts = map[job.Workspace]*ExcessCounts{}
	}
	if s.fair.counts[name] == nil {
		s.fair.counts[name] = &ExcessCounts{}
	}
	s.fair.counts[name].add(outcome)
	if s.opts.OnExcess != nil {
		s.opts.OnExcess(name, outcome)
	}
}

// recordExcess records an event for each workspace with excess jobs since the last event,
// at most once per excessEventInterval.
func (s *Shard) recordExcess(now time.Duration) {
	if len(s.fair.counts) == 0 || now-s.fair.recordedAt < excessEventInterval {
		return
	}
	s.fair.recordedAt = now
	for name, c := range s.fair.counts {
		s.recordEvent(eventlog.WorkspaceOverWeight, eventlog.Fields{
			"workspace": name, "accepted": c.Accepted, "promoted": c.Promoted,
			"refused_late": c.RefusedLate, "refused_full": c.RefusedFull, "waiting": s.waitingExcess(name),
		})
	}
	clear(s.fair.counts)
}

// WorkspaceUsage is the use of a pool by one workspace.
type WorkspaceUsage struct {
	Running int // Jobs of which a worker has begun a task.
	Waiting int // The other stored jobs.
	Excess  int // Of those, the jobs in excess of the workspace's weight.
}

// WorkspaceUsage returns the use of the pool by each workspace with jobs.
func (s *Shard) WorkspaceUsage() map[job.Workspace]WorkspaceUsage {
	usage := map[job.Workspace]WorkspaceUsage{}
	for _, js := range s.jobs {
		if js.job.Workspace == "" || !js.canStartTasks() {
			continue
		}
		u := usage[js.job.Workspace]
		switch {
		case js.begun:
			u.Running++
		case js.excessRound > 0:
			u.Waiting++
			u.Excess++
		default:
			u.Waiting++
		}
		usage[js.job.Workspace] = u
	}
	return usage
}
