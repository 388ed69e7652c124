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
	Limits   Limits
}

// Seen is the observation of an unchanged row by the local clock.
type Seen struct {
	Version uint64
	Since   time.Time // First read with this version.
	Last    time.Time // Last read with this version.
	// State is the time since when a plan row has had its state and epoch.
	State time.Time
	state fleet.PlanState
	epoch uint64
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
		if !plan.State.Driven() {
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
	seen := o.row(now, key, plan.Version)
	if old, ok := o.seen[key]; ok && old.state == plan.State && old.epoch == plan.Epoch {
		seen.State = old.State
	} else {
		seen.State = now
	}
	seen.state, seen.epoch = plan.State, plan.Epoch
	return seen
}

func (o *observer) row(now time.Time, key string, version uint64) Seen {
	old, ok := o.seen[key]
	if !ok || old.Version != version || now.Sub(old.Last) > o.maxGap {
		return Seen{Version: version, Since: now, Last: now}
	}
	old.Last = now
	return old
}
