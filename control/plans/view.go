package plans

import (
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
)

// View is everything that Step decides from.
type View struct {
	Self     fleet.MemberID
	Snapshot *fleet.Snapshot
	// Held are the epochs of the leases that this process has taken since it
	// started. A lease in its name from before a restart is not its own.
	Held map[fleet.PlanID]uint64
	// Seen says since when the rows of plans and of the VMs that plans have
	// reserved have been unchanged, by key.
	Seen map[string]Seen
	// Evidence and Acted are about VMs that plans have reserved. Acted is the
	// time of the last act; it is in the future while an act is running.
	Evidence map[fleet.VMID]move.Evidence
	Acted    map[fleet.VMID]time.Time
	// Leaving are VMs that do not count as serving, whatever their rows say.
	Leaving map[fleet.VMID]bool
	Limits  Limits
}

// routable reports whether a VM counts as serving.
func (v View) routable(vm fleet.VM) bool { return vm.Routable() && !v.Leaving[vm.ID] }

// serving counts the VMs of each pool that serve.
func (v View) serving() map[fleet.PoolID]int {
	n := make(map[fleet.PoolID]int, len(v.Snapshot.Pools))
	for _, vm := range v.Snapshot.VMs {
		if v.routable(vm) {
			n[vm.Pool]++
		}
	}
	return n
}

// Seen is the observation of an unchanged row by the local clock.
type Seen struct {
	Version uint64
	Since   time.Time // First read with this version.
	Last    time.Time // Last read with this version.
	// State is the time since when a plan row has had its state and epoch.
	State time.Time
	// Progress is the time since when a plan row has also had the same number of
	// steps done.
	Progress time.Time
	state    fleet.PlanState
	epoch    uint64
	done     int
}

// observer keeps the observations.
type observer struct {
	seen map[string]Seen
	// maxGap is the time without reads after which an observation starts anew,
	// because the driver may have been as unable to write as this process to read.
	maxGap time.Duration
}

// observe records the rows of a snapshot that was read at now.
func (o *observer) observe(now time.Time, s *fleet.Snapshot) {
	next := make(map[string]Seen, len(o.seen))
	for id, plan := range s.Plans {
		if !plan.State.NeedsDriver() {
			continue
		}
		next[fleet.PlanKey(id)] = o.plan(now, plan)
		for _, m := range plan.Moves {
			if vm, ok := s.VMs[m.VM]; ok && !m.Done {
				key := fleet.VMKey(m.VM)
				next[key] = o.row(now, key, vm.Version)
			}
		}
	}
	o.seen = next
}

func (o *observer) plan(now time.Time, plan fleet.Plan) Seen {
	key := fleet.PlanKey(plan.ID)
	old, known := o.seen[key]
	seen := o.row(now, key, plan.Version)
	seen.State, seen.Progress = now, now
	seen.state, seen.epoch, seen.done = plan.State, plan.Epoch, doneSteps(plan)
	if known && old.state == seen.state && old.epoch == seen.epoch {
		seen.State = old.State
		if old.done == seen.done {
			seen.Progress = old.Progress
		}
	}
	return seen
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

func (o *observer) row(now time.Time, key string, version uint64) Seen {
	old, ok := o.seen[key]
	if !ok || old.Version != version || now.Sub(old.Last) > o.maxGap {
		return Seen{Version: version, Since: now, Last: now}
	}
	old.Last = now
	return old
}
