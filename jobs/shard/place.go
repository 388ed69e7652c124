package shard

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/scheduler"
)

// placeDelay lets changes that arrive close together share one placement pass.
const placeDelay = 2 * time.Millisecond

// schedulePlacement schedules a pass over the tasks that wait for a worker.
func (s *Shard) schedulePlacement() {
	if s.stopped || !s.active {
		return
	}
	s.placementNeeded = true
	if s.placementScheduled {
		return
	}
	s.placementScheduled = true
	s.opts.Loop.After(placeDelay, func() {
		s.placementScheduled = false
		if s.placementNeeded {
			s.placeWaitingTasks()
		}
	})
}

// placeWaitingTasks starts as many waiting tasks as the workers have capacity for, and
// speculative runs if none of them lacked capacity.
func (s *Shard) placeWaitingTasks() {
	s.placementNeeded = false
	now := s.opts.Clock() // Before canAct, since the leases of the starts begin then.
	if !s.canAct() || s.draining {
		return
	}
	s.promoteExcessJobs()
	if s.starts.full() {
		s.starts.waiting = true
		return
	}
	waiting := s.waitingSteps()
	if len(waiting) == 0 && !s.hasSpeculativeSteps() {
		s.withdrawAdviceRequest()
		s.fair.held = nil
		return
	}
	s.prepareCaps()
	p := s.newPlacementPass(now)
	p.waitingCount = len(waiting)
	for _, step := range waiting {
		p.placeStep(step)
	}
	p.requestAdvice()
	s.fair.held = p.held
	s.starts.waiting = s.starts.full()
	if len(p.unplaceable) == 0 && !s.starts.full() {
		p.startSpeculativeRuns()
	}
	s.finishPass()
}

// hasSpeculativeSteps reports whether a startable step permits a second concurrent run
// of its tasks.
func (s *Shard) hasSpeculativeSteps() bool {
	for step := range s.startableSteps {
		if step.spec.Speculative {
			return true
		}
	}
	return false
}

// waitingSteps returns the steps with tasks to start, in the order in which they are
// served.
func (s *Shard) waitingSteps() []*stepState {
	type entry struct {
		step    *stepState
		sortKey scheduler.SortKey
	}
	var waiting []entry
	now := s.opts.Clock()
	for step := range s.startableSteps {
		if step.pending == 0 || !step.job.canStartTasks() || step.job.inherited && s.unaccountedWorkers > 0 {
			continue
		}
		key := s.sortKey(step.job, now)
		key.Held = step.held
		waiting = append(waiting, entry{step, key})
	}
	slices.SortFunc(waiting, func(a, b entry) int {
		return cmp.Or(
			a.sortKey.Compare(b.sortKey),
			cmp.Compare(a.step.occurrence, b.step.occurrence),
			cmp.Compare(a.step.number, b.step.number),
		)
	})
	steps := make([]*stepState, len(waiting))
	for i, e := range waiting {
		steps[i] = e.step
	}
	return steps
}

// placementPass is one pass over the waiting tasks.
type placementPass struct {
	shard   *Shard
	now     time.Duration
	nodes   []scheduler.Node
	workers []*workerState
	// unplaceable are the reservations for which no worker has capacity in this pass.
	unplaceable  []job.Resources
	waitingCount int        // Number of steps with tasks to start.
	started      []*attempt // Attempts of the step that is being placed.
	evidence     *evidence  // nil until it is needed.
	// held are the workers that excess jobs leave to a step within weight.
	held map[*workerState]struct{}
	// advised is the step about which the adviser is asked next, and askedWorkers the workers; nil for none.
	advised      *stepState
	askedWorkers []*workerState
}

// newPlacementPass takes a snapshot of the workers that can receive tasks, in the
// order of their ids. The leases of its starts begin at now.
func (s *Shard) newPlacementPass(now time.Duration) *placementPass {
	p := &placementPass{shard: s, now: now}
	for _, w := range s.workers {
		if !s.canReceiveTasks(w, p.now) {
			continue
		}
		if s.lacksFreshStatus(w, p.now) {
			s.requestStatusAgain(w)
			continue
		}
		p.workers = append(p.workers, w)
	}
	slices.SortFunc(p.workers, func(a, b *workerState) int { return cmp.Compare(a.info.ID, b.info.ID) })
	for _, w := range p.workers {
		p.nodes = append(p.nodes, s.nodeOf(w, p.now))
	}
	return p
}

func (s *Shard) nodeOf(w *workerState, now time.Duration) scheduler.Node {
	return scheduler.Node{
		Free: w.free(), Capacity: w.info.Capacity, Rack: w.rack(), Labels: w.info.Labels, MaintenanceDue: now < w.maintenanceDueUntil,
		Doubtful: s.learning != nil && (w.doubtful || len(w.failedJobs) > 0 || w.record.LastFailed()),
	}
}

// isUnplaceable reports whether resources no larger than the given ones have
// already failed to fit on any worker in this pass.
func (p *placementPass) isUnplaceable(reserved job.Resources) bool {
	for _, large := range p.unplaceable {
		if large.Fits(reserved) {
			return true
		}
	}
	return false
}

// placeStep starts the waiting tasks of a step until one of them fits on no worker.
func (p *placementPass) placeStep(step *stepState) {
	if step.spec.Gang {
		p.placeGang(step)
		return
	}
	reserved := step.spec.ReservedResources()
	if p.isUnplaceable(reserved) {
		p.holdWorkersFor(step)
		return
	}
	step.held = false
	for t := range step.waiting() {
		if t.notBefore > p.now || !p.shard.hasMemoryFor(t) {
			continue
		}
		if p.shard.starts.full() || !p.permitsStart(step) {
			break
		}
		i := p.chooseNode(t)
		if t.held {
			p.wantAdvice(step)
			continue
		}
		if i == scheduler.None {
			if step.spec.MaxPerWorker == 0 && step.spec.RequiredLabel == "" && !p.shard.advicePolicy(step).TicketRequired() {
				p.unplaceable = append(p.unplaceable, reserved)
			}
			p.holdWorkersFor(step)
			p.wantAdvice(step)
			break
		}
		p.startTask(t, i, p.shard.nextRun(t.lastRun))
	}
	p.recordStarts(step)
}

// chooseNode returns the node for a task, or scheduler.None. It prefers workers on
// which no run of the task has failed.
func (p *placementPass) chooseNode(t *task) int {
	c := p.constraint(t.step)
	if p.usesEvidence(t.step) {
		return p.chooseByEvidence(t, c)
	}
	t.release()
	if len(t.failedOn) == 0 {
		return scheduler.ChooseNode(p.nodes, c)
	}
	other := c
	other.Permits = func(node int) bool {
		return !slices.Contains(t.failedOn, p.workers[node].info.ID) && (c.Permits == nil || c.Permits(node))
	}
	if i := scheduler.ChooseNode(p.nodes, other); i != scheduler.None {
		return i
	}
	return scheduler.ChooseNode(p.nodes, c)
}

// recordStarts logs an event with the tasks of a step that were started in this pass
// and the number of waiting steps.
func (p *placementPass) recordStarts(step *stepState) {
	if len(p.started) == 0 {
		return
	}
	var assignments strings.Builder
	for _, a := range p.started {
		fmt.Fprintf(&assignments, "%d/%d@%s ", a.ref.Index, a.run, a.worker.info.ID)
	}
	fields := eventlog.Fields{
		"job": step.job.job.ID, "queue": step.job.job.Queue, "step": p.started[0].ref.StepName(),
		"tasks": strings.TrimSuffix(assignments.String(), " "), "left": step.pending,
		"waited": (p.now - step.releasedAt).String(), "estimate": p.shard.durationPredictor(step.job.job.Queue, step.spec).Predict(step.spec.Estimate).String(),
		"steps_waiting": p.waitingCount, "workers": len(p.workers), "fence": p.shard.opts.Fence, "acquisition": p.shard.opts.Acquisition,
	}
	p.shard.addInheritedFields(fields, step, p.started)
	p.shard.recordEvent(eventlog.TasksStarted, fields)
	p.shard.recordRestarts(step, p.started)
	p.shard.noteStarted(step)
	p.started = p.started[:0]
}

func (p *placementPass) startTask(t *task, node, run int) {
	p.started = append(p.started, p.shard.startTask(t, p.workers[node], run, p.now))
	t.step.advice.unusedCalls = 0
	p.nodes[node].Free = p.workers[node].free()
}

func (p *placementPass) constraint(step *stepState) scheduler.Constraint {
	c := scheduler.Constraint{Step: step.spec, Permits: p.permits(step), TasksOnNode: func(i int) int { return tasksOnWorker(p.workers[i], step) }}
	if step.spec.LongRunning {
		c.TasksOnRack = func(i int) int { return p.tasksOnRack(p.nodes[i].Rack, step) }
	}
	p.shard.preferences(&c, step)
	return c
}

func tasksOnWorker(w *workerState, step *stepState) (n int) {
	for _, a := range w.attempts {
		if a.task != nil && a.task.step == step {
			n++
		}
	}
	return n
}

func (p *placementPass) tasksOnRack(rack string, step *stepState) (n int) {
	for i, w := range p.workers {
		if p.nodes[i].Rack == rack {
			n += tasksOnWorker(w, step)
		}
	}
	return n
}

// placeGang starts all members of a gang with the same run number, or none of them.
func (p *placementPass) placeGang(step *stepState) {
	run := 0
	for t := range step.kept() {
		if len(t.attempts) > 0 || t.notBefore > p.now {
			return // Members of the previous run have not ended yet.
		}
		run = max(run, t.lastRun)
	}
	if p.shard.starts.full() || !p.permitsStart(step) || !p.shard.hasMemoryFor(step.peek(0)) {
		return
	}
	chosen := p.chooseGangNodes(step)
	if chosen == nil {
		p.holdWorkersFor(step)
		p.wantAdvice(step)
		return
	}
	run = p.shard.nextRun(run)
	for i, t := range step.allTasks() {
		p.startTask(t, chosen[i], run)
	}
	p.recordStarts(step)
}

// nextRun returns a run number above the last one and above those that former owners
// may have used.
func (s *Shard) nextRun(last int) int {
	return max(last, int(s.journal.generation-1)*runsPerOwner) + 1
}
