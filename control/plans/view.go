package plans

import (
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
)

// Input holds everything that NextActions decides from.
type Input struct {
	Self     fleet.MemberID
	Snapshot *fleet.Snapshot
	// HeldEpochs holds the epochs of the leases that this process has taken since it
	// started. A lease that it took before a restart does not count as held.
	HeldEpochs map[fleet.PlanID]uint64
	// Observed holds since when the rows of plans and of the VMs that plans have
	// reserved have been unchanged, by key.
	Observed map[string]Observation
	// Evidence holds the result of the last act on each VM that a plan has reserved.
	// LastActAt holds the end of that act. While the act is running, it is the time at
	// which the act times out, which is in the future.
	Evidence  map[fleet.VMID]move.Evidence
	LastActAt map[fleet.VMID]time.Time
	// Leaving holds the VMs that do not count as serving, regardless of their rows.
	Leaving map[fleet.VMID]bool
	Limits  Limits
}

// routable reports whether a VM counts as serving.
func (in Input) routable(vm fleet.VM) bool { return vm.Routable() && !in.Leaving[vm.ID] }

// countServing returns the number of serving VMs in each pool.
func (in Input) countServing() map[fleet.PoolID]int {
	n := make(map[fleet.PoolID]int, len(in.Snapshot.Pools))
	for _, vm := range in.Snapshot.VMs {
		if in.routable(vm) {
			n[vm.Pool]++
		}
	}
	return n
}

// Observation holds since when a row has been unchanged, by the local clock.
type Observation struct {
	Version   uint64
	FirstRead time.Time // First read with this version.
	LastRead  time.Time // Last read with this version.
	// StateSince is the first read of a plan row with its current state and epoch.
	StateSince time.Time
	// ProgressSince is the first read of a plan row with its current state, epoch and
	// number of steps done.
	ProgressSince time.Time
	state         fleet.PlanState
	epoch         uint64
	stepsDone     int
}

// observer observes since when the rows of driven plans and of their VMs have been
// unchanged.
type observer struct {
	observed map[string]Observation
	// maxGap is the longest time between two reads of one observation. After a longer
	// gap the observation restarts, because the outage that kept this process from
	// reading may have kept the driver of the plan from writing.
	maxGap time.Duration
}

// observe records the rows of a snapshot that was read at now.
func (o *observer) observe(now time.Time, s *fleet.Snapshot) {
	next := make(map[string]Observation, len(o.observed))
	for id, plan := range s.Plans {
		if !plan.State.NeedsDriver() {
			continue
		}
		next[fleet.PlanKey(id)] = o.observePlan(now, plan)
		for _, m := range plan.Moves {
			if vm, ok := s.VMs[m.VM]; ok && !m.Done {
				key := fleet.VMKey(m.VM)
				next[key] = o.observeRow(now, key, vm.Version)
			}
		}
	}
	o.observed = next
}

func (o *observer) observePlan(now time.Time, plan fleet.Plan) Observation {
	key := fleet.PlanKey(plan.ID)
	old, known := o.observed[key]
	observed := o.observeRow(now, key, plan.Version)
	observed.StateSince, observed.ProgressSince = now, now
	observed.state, observed.epoch, observed.stepsDone = plan.State, plan.Epoch, doneSteps(plan)
	if known && old.state == observed.state && old.epoch == observed.epoch {
		observed.StateSince = old.StateSince
		if old.stepsDone == observed.stepsDone {
			observed.ProgressSince = old.ProgressSince
		}
	}
	return observed
}

func doneSteps(plan fleet.Plan) int {
	n := 0
	for _, m := range plan.Moves {
		if m.Done {
			n++
		}
	}
	return n
}

func (o *observer) observeRow(now time.Time, key string, version uint64) Observation {
	old, ok := o.observed[key]
	if !ok || old.Version != version || now.Sub(old.LastRead) > o.maxGap {
		return Observation{Version: version, FirstRead: now, LastRead: now}
	}
	old.LastRead = now
	return old
}
