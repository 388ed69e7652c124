package plans

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
	"peridotcrank.dev/store"
)

// Step returns the next actions of this process. For each plan that it drives
// there is at most one transaction, and acts on VMs that the transaction does not write.
func Step(now time.Time, v View) []Action {
	v.Limits = v.Limits.WithDefaults()
	var actions []Action
	var serving map[fleet.PoolID]int
	for _, plan := range drivenPlans(v.Snapshot) {
		if !v.holds(plan) {
			actions = append(actions, v.acquire(plan)...)
			continue
		}
		if serving == nil {
			serving = v.serving()
		}
		d := driving{view: v, now: now, plan: plan, serving: serving}
		actions = append(actions, d.actions()...)
	}
	return actions
}

// drivenPlans returns the plans that need a driver, by ID.
func drivenPlans(s *fleet.Snapshot) []fleet.Plan {
	return slices.SortedFunc(func(yield func(fleet.Plan) bool) {
		for plan := range maps.Values(s.Plans) {
			if plan.State.NeedsDriver() && !yield(plan) {
				return
			}
		}
	}, func(a, b fleet.Plan) int { return cmp.Compare(a.ID, b.ID) })
}

// driving computes the actions on one plan whose lease this process holds.
type driving struct {
	view    View
	now     time.Time
	plan    fleet.Plan
	serving map[fleet.PoolID]int // Shared by the plans of one Step.

	limits  widths
	failing bool
	rows    []row
	next    *fleet.Plan
	acts    []Action
	reasons []string
}

func (d *driving) actions() []Action {
	d.limits = newWidths(d.plan, d.view.Snapshot)
	d.failing = slices.ContainsFunc(d.plan.Moves, func(m fleet.MoveStep) bool { return m.Failed != "" })
	waiting := 0
	for i := range d.plan.Moves {
		if !d.step(i) {
			waiting++
		}
	}
	if d.next == nil && len(d.rows) == 0 && len(d.acts) == 0 {
		d.end(waiting)
		d.stall()
	}
	if d.next == nil && d.view.renewDue(d.now, d.plan) {
		d.planRow()
		d.reasons = append(d.reasons, "renew the lease")
	}
	return d.collect()
}

func (d *driving) collect() []Action {
	if d.next == nil && len(d.rows) == 0 {
		return d.acts
	}
	priority := store.PriorityProgress
	if d.next != nil {
		// Progress that is not recorded in time would cost the lease.
		priority = store.PrioritySafety
	}
	action, err := d.view.commit(d.plan, d.next, d.rows, priority, strings.Join(d.reasons, "; "))
	if err != nil {
		return d.acts
	}
	return append([]Action{action}, d.acts...)
}

// step adds the next decision on one move. It reports whether the step needs
// nothing more from the driver: it is done, failed, or held back by a failure.
func (d *driving) step(i int) (settled bool) {
	m := d.plan.Moves[i]
	if m.Done || m.Failed != "" {
		return true
	}
	vm, ok := d.view.Snapshot.VMs[m.VM]
	if !ok {
		d.missing(i)
		return false
	}
	in := d.input(m, vm)
	in.StartAllowed = d.heldBack(m, vm) == ""
	decision := move.Next(in)
	d.take(i, vm, decision, in.StartAllowed)
	idle := decision.Write == nil && decision.Act == move.ActNone && decision.Failed == ""
	return idle && d.failing && vm.Phase == fleet.PhaseServing && vm.Plan == d.plan.ID
}

// missing handles a VM without a row: there is nothing to return to service.
func (d *driving) missing(i int) {
	if d.plan.State == fleet.PlanCancelling {
		d.planRow().Moves[i].Done = true
		return
	}
	d.fail(i, "VM "+string(d.plan.Moves[i].VM)+" does not exist")
}

func (d *driving) input(m fleet.MoveStep, vm fleet.VM) move.Input {
	in := move.Input{
		VM: vm, Step: m, Plan: d.plan.ID, Cancel: d.plan.State == fleet.PlanCancelling,
		Evidence: d.view.Evidence[m.VM], Limits: d.view.Limits.Move,
	}
	if seen, ok := d.view.Seen[fleet.VMKey(m.VM)]; ok && seen.Version == vm.Version {
		since := seen.Since
		if state := d.view.Seen[fleet.PlanKey(d.plan.ID)].State; state.After(since) {
			since = state
		}
		in.Unchanged = d.now.Sub(since)
	}
	return in
}

func (d *driving) take(i int, vm fleet.VM, decision move.Decision, started bool) {
	if decision.Write != nil {
		d.rows = append(d.rows, row{fleet.VMKey(vm.ID), vm.Version, *decision.Write})
		d.reasons = append(d.reasons, string(vm.ID)+" "+string(decision.Write.Phase)+": "+decision.Reason)
		if started && decision.Write.Phase == fleet.PhaseDraining {
			d.limits.start(vm)
			if d.view.routable(vm) {
				d.serving[vm.Pool]--
			}
		}
	}
	if decision.Done {
		d.planRow().Moves[i].Done = true
	}
	if decision.Failed != "" {
		d.fail(i, decision.Failed)
	}
	if decision.Act != move.ActNone && d.now.Sub(d.view.Acted[vm.ID]) >= d.view.Limits.Poll {
		d.acts = append(d.acts, Action{Plan: d.plan.ID, Act: decision.Act, VM: vm, Reason: decision.Reason})
	}
}

func (d *driving) fail(i int, reason string) {
	d.planRow().Moves[i].Failed = reason
	d.reasons = append(d.reasons, reason)
}

// planRow returns the next plan row, which renews the lease.
func (d *driving) planRow() *fleet.Plan {
	if d.next == nil {
		next := d.plan
		next.Moves = slices.Clone(d.plan.Moves)
		next.Renewal++
		d.next = &next
	}
	return d.next
}

// heldBack says why a VM may not start to drain now. It is empty when it may.
func (d *driving) heldBack(m fleet.MoveStep, vm fleet.VM) string {
	if d.failing || d.plan.State != fleet.PlanConfirmed || vm.Phase != fleet.PhaseServing {
		return "no further step starts"
	}
	for _, j := range m.After {
		if j >= len(d.plan.Moves) || !d.plan.Moves[j].Done {
			return fmt.Sprintf("step %d is not done", j+1)
		}
	}
	if floor, ok := d.plan.Floors[vm.Pool]; ok && d.view.routable(vm) && d.serving[vm.Pool]-1 < floor {
		return fmt.Sprintf("pool %s has %d serving VMs and the plan keeps %d", vm.Pool, d.serving[vm.Pool], floor)
	}
	if !d.limits.room(vm) {
		return "as many VMs as the plan permits are being moved"
	}
	return ""
}

// stall fails a plan that has been held back for too long, for example because
// other VMs of a pool have failed.
func (d *driving) stall() {
	if d.next != nil || d.limits.total > 0 || d.now.Sub(d.view.Seen[fleet.PlanKey(d.plan.ID)].Progress) < d.view.Limits.Stall {
		return
	}
	for i, m := range d.plan.Moves {
		if !m.Done && m.Failed == "" {
			d.fail(i, fmt.Sprintf("VM %s could not start to drain within %s: %s", m.VM, d.view.Limits.Stall, d.heldBack(m, d.view.Snapshot.VMs[m.VM])))
			return
		}
	}
}
