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

// placeDelay joins the changes that arrive together into one pass.
const placeDelay = 2 * time.Millisecond

// place schedules a pass over the tasks that wait for a worker.
func (s *Shard) place() {
	if s.placing || s.stopped || !s.active {
		return
	}
	s.placing = true
	s.o.Loop.After(placeDelay, func() {
		s.placing = false
		s.placeNow()
	})
}

func (s *Shard) placeNow() {
	if !s.canAct() || s.closed {
		return
	}
	waiting := s.waitingSteps()
	if len(waiting) == 0 && !s.copying() {
		return
	}
	p := s.newPass()
	p.waiting = len(waiting)
	for _, step := range waiting {
		p.placeStep(step)
	}
	if len(p.tooLarge) == 0 {
		p.placeCopies()
	}
}

// copying reports whether a step permits second runs of its tasks.
func (s *Shard) copying() bool {
	for step := range s.steps {
		if step.spec.Speculative {
			return true
		}
	}
	return false
}

// waitingSteps returns the steps with tasks to start, in the order of their turn.
func (s *Shard) waitingSteps() []*stepState {
	type entry struct {
		step *stepState
		turn scheduler.SortKey
	}
	var waiting []entry
	now := s.o.Clock()
	for step := range s.steps {
		if step.idle == 0 || !step.job.alive() || step.job.inherited && s.unaccounted > 0 {
			continue
		}
		waiting = append(waiting, entry{step, s.turn(step.job, now)})
	}
	slices.SortFunc(waiting, func(a, b entry) int {
		return cmp.Or(
			a.turn.Compare(b.turn),
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

// pass is one pass over the waiting tasks.
type pass struct {
	s       *Shard
	now     time.Duration
	nodes   []scheduler.Node
	workers []*workerState
	// tooLarge are charges that fit no worker in this pass.
	tooLarge []job.Resources
	waiting  int        // Steps with tasks to start.
	started  []*attempt // Of the step that is being placed.
}

func (s *Shard) newPass() *pass {
	p := &pass{s: s, now: s.o.Clock()}
	for _, w := range s.workers {
		if !s.usable(w, p.now) {
			continue
		}
		p.workers = append(p.workers, w)
	}
	slices.SortFunc(p.workers, func(a, b *workerState) int { return cmp.Compare(a.info.ID, b.info.ID) })
	for _, w := range p.workers {
		p.nodes = append(p.nodes, scheduler.Node{
			Free: w.free(), Capacity: w.info.Capacity, Rack: w.rack(), Labels: w.info.Labels, MaintenanceDue: p.now < w.due,
		})
	}
	return p
}

// hopeless reports whether a charge as small as this one fitted nowhere before.
func (p *pass) hopeless(charge job.Resources) bool {
	for _, large := range p.tooLarge {
		if large.Fits(charge) {
			return true
		}
	}
	return false
}

func (p *pass) placeStep(step *stepState) {
	if step.spec.Gang {
		p.placeGang(step)
		return
	}
	charge := step.spec.Charge()
	if p.hopeless(charge) {
		return
	}
	for _, t := range step.tasks {
		if t.done || len(t.attempts) > 0 || t.notBefore > p.now {
			continue
		}
		i := p.choose(t)
		if i == scheduler.None {
			if step.spec.MaxPerWorker == 0 && step.spec.RequiredLabel == "" && !p.s.terms(step).Required() {
				p.tooLarge = append(p.tooLarge, charge)
			}
			p.seekAdvice(step)
			break
		}
		p.start(t, i, p.s.nextRun(t.run))
	}
	p.recordStarts(step)
}

// choose returns the node for a task: rather one on which no run of it has failed.
func (p *pass) choose(t *task) int {
	c := p.constraint(t.step)
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

// recordStarts records the tasks of a step that were started in this pass, and
// what else waited.
func (p *pass) recordStarts(step *stepState) {
	if len(p.started) == 0 {
		return
	}
	var given strings.Builder
	for _, a := range p.started {
		fmt.Fprintf(&given, "%d/%d@%s ", a.ref.Index, a.run, a.worker.info.ID)
	}
	p.s.record(eventlog.TasksStarted, eventlog.Fields{
		"job": step.job.job.ID, "queue": step.job.job.Queue, "step": p.started[0].ref.StepName(),
		"tasks": strings.TrimSuffix(given.String(), " "), "left": step.idle,
		"waited": (p.now - step.releasedAt).String(), "estimate": p.s.durations(step.job.job.Queue).Predict(step.spec.Estimate).String(),
		"steps_waiting": p.waiting, "workers": len(p.workers), "fence": p.s.o.Fence,
	})
	p.started = p.started[:0]
}

func (p *pass) start(t *task, node, run int) {
	p.started = append(p.started, p.s.start(t, p.workers[node], run))
	p.nodes[node].Free = p.workers[node].free()
}

func (p *pass) constraint(step *stepState) scheduler.Constraint {
	c := scheduler.Constraint{Step: step.spec, Permits: p.permits(step), TasksOnNode: func(i int) int { return countTasks(p.workers[i], step) }}
	if step.spec.LongRunning {
		c.TasksOnRack = func(i int) int { return p.onRack(p.nodes[i].Rack, step) }
	}
	return c
}

func countTasks(w *workerState, step *stepState) (n int) {
	for _, a := range w.attempts {
		if a.task != nil && a.task.step == step {
			n++
		}
	}
	return n
}

func (p *pass) onRack(rack string, step *stepState) (n int) {
	for i, w := range p.workers {
		if p.nodes[i].Rack == rack {
			n += countTasks(w, step)
		}
	}
	return n
}

// placeGang starts all members of a gang with one run number, or none.
func (p *pass) placeGang(step *stepState) {
	run := 0
	for _, t := range step.tasks {
		if len(t.attempts) > 0 || t.notBefore > p.now {
			return // Members of the former run have not ended yet.
		}
		run = max(run, t.run)
	}
	chosen := scheduler.ChooseGangNodes(p.nodes, step.spec, len(step.tasks), p.permits(step))
	if chosen == nil {
		p.seekAdvice(step)
		return
	}
	run = p.s.nextRun(run)
	for i, t := range step.tasks {
		p.start(t, chosen[i], run)
	}
	p.recordStarts(step)
}

// nextRun returns a run number above the last one and above those that former
// owners may have used.
func (s *Shard) nextRun(last int) int {
	return max(last, int(s.journal.generation-1)*runsPerOwner) + 1
}
