package shard

import (
	"fmt"
	"time"

	"peridotcrank.dev/jobs/caps"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/workspaces"
)

const (
	// peakWindow is the time over which the highest need of a share is kept; a share above
	// it is returned after one to two windows.
	peakWindow = 5 * time.Second
	// unmetNeedAge is the age of an unmet need from which it is logged.
	unmetNeedAge = time.Second
	// maxOvertakenTime is how long smaller starts of a workspace may overtake one that does
	// not fit under the cap. Without a limit, a gang could wait forever.
	maxOvertakenTime = time.Second
	// turnoverDivisor is the divisor of a pool's capacity for the part that is taken to
	// become free while a share is requested.
	turnoverDivisor = 8
)

// workspaceCaps is the state of all workspaces with a cap in this pool. It is empty on
// sites without caps.
type workspaceCaps struct {
	byName map[job.Workspace]*workspaceCap
	// generation increases whenever byName changes.
	generation uint64
	// pools is the number of pools among which the caps are divided.
	pools int
	// accounted is set once all runs of former owners are known.
	accounted bool
	// pass is the number of the placement pass.
	pass uint64
	// unknownRuns counts the attempts of unknown jobs, whose resources are unknown.
	unknownRuns  int
	transactions int // In flight.
	// room are the resources that waiting tasks can get soon on the workers of the pool.
	room job.Resources
}

// workspaceCap is the use of a workspace's cap in this pool.
type workspaceCap struct {
	name   job.Workspace
	limit  job.Resources // The cap over all pools; zero once the workspace has none.
	ledger *caps.Ledger

	// started and found are the resources of the runs that may execute: those that this
	// owner started and those that it found on workers.
	started, found job.Resources
	// orphaned are the resources of unanswered starts whose worker is gone. A new
	// incarnation of the worker may still carry them out.
	orphaned job.Resources
	// inherited are the resources that runs of the former owner may use: the share that it
	// held, or used above that.
	inherited job.Resources
	// waiting are the resources of the tasks that could start now, and arriving those of
	// the first tasks of jobs that are not stored yet. unreserved is the part of both that
	// workers do not reserve: the CPU of best-effort tasks.
	waiting, arriving, unreserved job.Resources
	// largestStart are the resources of the largest start that waits.
	largestStart job.Resources
	// nextStart are the resources of the first start in order in the last pass.
	nextStart job.Resources
	heldBack  bool // The cap held back a start in the last pass.
	// pass is the last pass with a task of the workspace to start, and limitShare the share
	// up to which tasks may start in that pass.
	pass       uint64
	limitShare caps.Share
	// reserved is set during a pass when a start has been held back for so long that no
	// other one may overtake it.
	reserved bool

	peaks          [2]caps.Share // Highest needs of this window and of the last one.
	peakWindowFrom time.Duration
	heldBackSince  time.Duration // 0 while the cap holds no start back.
	unmetSince     time.Duration // 0 while the need is met.
	unmetLogged    bool

	transactionInFlight bool
	notBefore           time.Duration // Earliest time of the next transaction.
	unreadableSince     time.Duration
}

// SetPoolCount sets the number of pools among which the caps of workspaces are divided.
func (s *Shard) SetPoolCount(n int) { s.caps.pools = n }

// applyCaps applies the caps of a configuration. A workspace that has no cap any more
// returns its share before it is forgotten.
func (s *Shard) applyCaps(table *workspaces.Table) {
	capped := len(s.caps.byName) > 0
	for _, c := range s.caps.byName {
		c.limit = job.Resources{}
	}
	for _, w := range table.All() {
		if w.Cap == (job.Resources{}) {
			continue
		}
		c := s.caps.byName[w.Name]
		if c == nil {
			c = &workspaceCap{name: w.Name, ledger: caps.NewLedger(s.opts.Pool, s.opts.Fence)}
			if s.caps.byName == nil {
				s.caps.byName = map[job.Workspace]*workspaceCap{}
			}
			s.caps.byName[w.Name] = c
			s.caps.generation++
		}
		c.limit, capped = w.Cap, true
	}
	if !capped {
		return
	}
	s.recountRuns()
	s.refreshDemand()
	s.updateShares()
}

// capOf returns the cap state of a job's workspace, or nil if it has no cap.
func (s *Shard) capOf(js *jobState) *workspaceCap {
	if len(s.caps.byName) == 0 || js.job.Workspace == "" {
		return nil
	}
	if js.capGeneration != s.caps.generation {
		js.capGeneration, js.cap = s.caps.generation, s.caps.byName[js.job.Workspace]
	}
	return js.cap
}

// capError returns an error if a task or a gang of the job is larger than the whole cap of
// its workspace, so that it could never start.
func (s *Shard) capError(j *job.Job) error {
	if s.workspaces == nil || j.Workspace == "" {
		return nil
	}
	w, ok := s.workspaces.Find(j.Workspace)
	if !ok || w.Cap == (job.Resources{}) {
		return nil
	}
	for i := range j.Steps {
		start := startResources(&j.Steps[i])
		if caps.ShareOf(start, w.Cap) > caps.Whole {
			what := "a task"
			if j.Steps[i].Gang {
				what = fmt.Sprintf("a gang of %d tasks", j.Steps[i].Count)
			}
			return fmt.Errorf("step %d: %s requests %s, more than the cap of workspace %s, %s",
				i, what, describeResources(start, w.Cap), w.Name, describeResources(w.Cap, w.Cap))
		}
	}
	return nil
}

// prepareCaps begins a placement pass.
func (s *Shard) prepareCaps() {
	if len(s.caps.byName) == 0 {
		return
	}
	s.refreshDemand()
	s.caps.pass++
}

// beginPass determines the limit of a workspace in the present pass.
func (s *Shard) beginPass(c *workspaceCap) {
	if c.pass == s.caps.pass {
		return
	}
	c.pass, c.limitShare = s.caps.pass, c.ledger.Limit(s.capDemand(c))
	c.nextStart, c.heldBack, c.reserved = job.Resources{}, false, false
}

// finishPass updates the shares of the workspaces with tasks to start in the present pass.
func (s *Shard) finishPass() {
	for _, c := range s.caps.byName {
		if c.pass == s.caps.pass {
			s.updateShare(c)
		}
	}
}

// permitsStart reports whether the cap of the step's workspace has room for one more start:
// a task, or a whole gang. A start that has waited long must not be overtaken.
func (p *placementPass) permitsStart(step *stepState) bool {
	c := p.shard.capOf(step.job)
	if c == nil {
		return true
	}
	p.shard.beginPass(c)
	start := startResources(step.spec)
	if c.nextStart == (job.Resources{}) {
		c.nextStart = start
	}
	if p.hasRoom(step) {
		step.heldBackSince = 0
		return true
	}
	p.shard.noteHeldBack(c, step, start, p.now)
	return false
}

// hasRoom reports whether the cap of the step's workspace has room for one more start.
func (p *placementPass) hasRoom(step *stepState) bool {
	c := p.shard.capOf(step.job)
	if c == nil || c.limit == (job.Resources{}) {
		return true
	}
	p.shard.beginPass(c)
	return !c.reserved && c.useAfter(startResources(step.spec), p.shard.caps.accounted) <= c.limitShare
}

// updateShares requests or returns shares of all workspaces with a cap, those with waiting
// tasks first.
func (s *Shard) updateShares() {
	if len(s.caps.byName) == 0 || !s.canAct() {
		return
	}
	var idle []*workspaceCap
	for _, c := range s.caps.byName {
		if c.waiting == (job.Resources{}) && c.arriving == (job.Resources{}) {
			idle = append(idle, c)
			continue
		}
		s.updateShare(c)
	}
	for _, c := range idle {
		s.updateShare(c)
		s.forgetCap(c)
	}
}

// forgetCap removes a workspace that has no cap and holds no share any more.
func (s *Shard) forgetCap(c *workspaceCap) {
	if c.limit != (job.Resources{}) || c.transactionInFlight || c.ledger.Entry().Held > 0 && !c.ledger.Unreadable() {
		return
	}
	delete(s.caps.byName, c.name)
	s.caps.generation++
	s.recountRuns()
}

// checkCaps runs the periodic checks of the caps: it logs unmet needs and updates shares.
func (s *Shard) checkCaps(now time.Duration) {
	if len(s.caps.byName) == 0 {
		return
	}
	s.refreshDemand()
	s.updateShares()
	for _, c := range s.caps.byName {
		c.checkCrossings(s, now)
	}
}

// requestShareFor requests a share for a job that has just arrived, while its row is being
// written.
func (s *Shard) requestShareFor(js *jobState) {
	c := s.capOf(js)
	if c == nil {
		return
	}
	s.addArriving(js)
	s.updateShare(c)
}
