package workertest

import (
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// gangWait is how long a member of a gang waits for the others.
const gangWait = 3 * time.Second

// gangKey identifies a run of a gang, whose members have the same run number.
type gangKey struct {
	step   job.TaskRef // Of the first member.
	number int
}

// gangRun is the runs of the members of a gang. They work from the moment when all are present.
type gangRun struct {
	members map[job.TaskRef]gangMember
	begun   bool
	ended   bool // A member has ended.
}

type gangMember struct {
	worker *simulatedWorker
	run    *run
}

func gangKeyOf(r *run) gangKey {
	step := r.task
	step.Index = 0
	return gangKey{step, r.number}
}

// isGang reports whether a task is a member of a gang.
func (f *Fleet) isGang(task job.TaskRef) bool { return f.GangSize != nil && f.GangSize(task) > 0 }

// joinGang adds a run to the run of its gang, which begins its work once it is complete. The caller holds the lock.
func (f *Fleet) joinGang(w *simulatedWorker, r *run, duration time.Duration, outcome worker.Outcome) {
	if f.gangs == nil {
		f.gangs = map[gangKey]*gangRun{}
	}
	key := gangKeyOf(r)
	g := f.gangs[key]
	if g == nil {
		g = &gangRun{members: map[job.TaskRef]gangMember{}}
		f.gangs[key] = g
	}
	g.members[r.task] = gangMember{w, r}
	r.timer = time.AfterFunc(gangWait, func() { f.endRun(w, r, worker.GangIncomplete) })
	if g.ended || len(g.members) < f.GangSize(r.task) {
		return
	}
	g.begun = true
	for _, m := range g.members {
		m.run.timer.Stop()
	}
	time.AfterFunc(TimerDelay(duration), func() { f.endGang(g, outcome) })
}

// endGang ends the runs of all members of a gang, unless one of them has ended before.
func (f *Fleet) endGang(g *gangRun, outcome worker.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !g.ended {
		g.end(f, outcome)
	}
}

// leaveGang ends the other members of a gang at work when one has ended. The caller holds the lock.
func (f *Fleet) leaveGang(r *run) {
	g := f.gangs[gangKeyOf(r)]
	if g == nil {
		return
	}
	delete(g.members, r.task)
	if g.begun && !g.ended {
		g.end(f, worker.GangBroken)
	}
	g.ended = true
}

// end ends the runs of the members that are left.
func (g *gangRun) end(f *Fleet, outcome worker.Outcome) {
	g.ended = true
	for _, m := range g.members {
		if m.worker.runs[m.run.key()] == m.run {
			f.endRunLocked(m.worker, m.run, outcome)
		}
	}
}
