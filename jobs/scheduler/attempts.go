package scheduler

import (
	"math"
	"time"

	"peridotcrank.dev/jobs/job"
)

// Attempt describes a run of a task in a queue with an attempts limit, while runs have
// failed recently.
type Attempt struct {
	// Last is set when the task has failed before and its job fails if this run does.
	Last bool
	// Retriable is set when the job can still complete in time if this run fails.
	Retriable bool
	// Standings are those of the workers, parallel to the nodes.
	Standings []Standing
	// FailedOn and FailedOnRack report whether a run of the task has failed on a node,
	// or on its rack.
	FailedOn, FailedOnRack func(node int) bool
}

// Tiers of nodes for an attempt; the lowest is preferred.
const (
	tierProven = iota
	// The tiers up to tierUnproven are used only for last attempts.
	tierProvenSameRack      // On the rack of a failed run, or on a faulty rack.
	tierProvenAgain         // Proven again after a failure of another job.
	tierProvenAgainSameRack // Both.
	tierProvenFailedOn      // Proven since the task failed there.
	tierUnproven
	// tierKeepFree is for proven workers, which are kept free for last attempts. It follows
	// a tier for each number of missing successes.
	tierKeepFree = tierUnproven + provenSuccesses + 1
	tierFaulty   = tierKeepFree + 1
	// tierFailedOn is added for unproven nodes on which the task has failed.
	tierFailedOn = tierFaulty + 1
)

// Tier returns the preference of the attempt for a node.
//
// Only attempts whose failure matters prefer proven workers. The others run on all workers
// alike, so that workers without successes get a chance to prove themselves.
func (a Attempt) Tier(node int) int {
	s := a.Standings[node]
	failedOn := a.FailedOn(node)
	if a.Last {
		return a.lastTier(s, failedOn, node)
	}
	tier := tierUnproven
	switch {
	case s.Faulty || s.RackFaulty && !s.Proven():
		tier = tierFaulty
	case s.Proven() && a.Retriable:
		tier = tierKeepFree
	case s.Proven():
		tier = tierProven
	}
	if failedOn {
		tier += tierFailedOn
	}
	return tier
}

func (a Attempt) lastTier(s Standing, failedOn bool, node int) int {
	if s.Proven() {
		tier := tierProven
		if s.Failures > 0 {
			tier = tierProvenAgain
		}
		if s.RackFaulty || a.FailedOnRack(node) {
			tier++
		}
		if failedOn {
			tier = tierProvenFailedOn
		}
		return tier
	}
	tier := tierUnproven + provenSuccesses - s.Successes
	if s.Faulty || s.RackFaulty {
		tier = tierFaulty
	}
	if failedOn {
		tier += tierFailedOn
	}
	return tier
}

// Choose returns the node for the attempt, or [None]. A last attempt waits for a worker
// with the number of successes that required returns: Choose then returns None and sets
// held.
func (a Attempt) Choose(nodes []Node, c Constraint, required func() int) (node int, held bool) {
	c.Tier = a.Tier
	node = ChooseNode(nodes, c)
	if node != None && a.Last && !a.suffices(node, required) {
		return None, true
	}
	return node, false
}

// suffices reports whether a node has the required successes.
func (a Attempt) suffices(node int, required func() int) bool {
	s := a.Standings[node]
	if s.Proven() {
		return true
	}
	n := required()
	return n == 0 || s.Successes >= n && !s.Faulty && !s.RackFaulty && !a.FailedOn(node)
}

// ChooseGang returns the nodes for all members of a gang, or nil. It prefers proven
// workers, since the run fails if one member does. A last attempt waits for them while
// required returns more than 0.
func (a Attempt) ChooseGang(nodes []Node, c Constraint, required func() int) []int {
	permits := func(accept func(Standing) bool) func(int) bool {
		return func(node int) bool { return accept(a.Standings[node]) && (c.Permits == nil || c.Permits(node)) }
	}
	if chosen := ChooseGangNodes(nodes, c.Step, c.Step.Count, permits(Standing.Proven)); chosen != nil {
		return chosen
	}
	any := ChooseGangNodes(nodes, c.Step, c.Step.Count, c.Permits)
	if any == nil || a.Last && required() > 0 {
		return nil
	}
	notFaulty := func(s Standing) bool { return !s.Faulty && !s.RackFaulty }
	if chosen := ChooseGangNodes(nodes, c.Step, c.Step.Count, permits(notFaulty)); chosen != nil {
		return chosen
	}
	return any
}

// Prospect describes a worker on which a last attempt could run later.
type Prospect struct {
	Standing Standing
	// AvailableAt is when the worker can get the task.
	AvailableAt time.Duration
	// Runs are the runs in progress that will end.
	Runs []ExpectedRun
}

// ExpectedRun is a run in progress.
type ExpectedRun struct {
	End      time.Duration // Expected.
	Duration time.Duration // Expected, of the whole run.
	Reserved job.Resources
}

// successesBy returns the successes that the worker can have at a time, provided that all
// its runs succeed and similar ones follow them; 0 if it is not available then.
func (p Prospect) successesBy(latest time.Duration) int {
	if p.AvailableAt > latest {
		return 0
	}
	n := p.Standing.Successes
	for _, r := range p.Runs {
		if n < provenSuccesses && r.End <= latest {
			n += 1 + int((latest-r.End)/max(r.Duration, minDuration))
		}
	}
	return min(n, provenSuccesses)
}

// minRequiredSuccesses is the number of successes for which waiting is worthwhile when no
// worker can be proven in time. They lower the risk of a failure to a thirtieth.
const minRequiredSuccesses = 6

// RequiredSuccesses returns the number of successes that a worker needs to get a last
// attempt now, which has waited since heldSince. It is the most that a worker can have by
// the latest start, and falls towards minRequiredSuccesses while the attempt waits. It is
// 0 if waiting is not worthwhile, so that any worker may get the attempt.
func RequiredSuccesses(prospects []Prospect, heldSince, now, latestStart time.Duration) int {
	if now >= latestStart {
		return 0
	}
	best := 0
	for _, p := range prospects {
		if best = max(best, p.successesBy(latestStart)); best == provenSuccesses {
			break
		}
	}
	if best < minRequiredSuccesses {
		return 0
	}
	left := float64(latestStart-now) / float64(latestStart-heldSince)
	return minRequiredSuccesses + int(math.Ceil(left*float64(best-minRequiredSuccesses)))
}

// lastAttemptWait is how long a last attempt may wait for a proven worker in any case. A
// task that is next in order must not wait 3 s while less than half of the pool is in use.
const lastAttemptWait = 2500 * time.Millisecond

// LatestLastAttempt returns the latest start of a last attempt that was first held at the
// given time. If at least half of the pool is in use, that is when its job would be
// overdue.
func LatestLastAttempt(w RemainingWork, heldSince time.Duration, halfUsed bool) time.Duration {
	latest := heldSince + lastAttemptWait
	if halfUsed {
		latest = max(latest, w.LatestStart())
	}
	return latest
}
