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

// NextActions returns the next actions of this process: for each plan that it drives, at
// most one transaction, and acts on VMs whose rows the transaction does not write.
func NextActions(now time.Time, in Input) []Action {
	in.Limits = in.Limits.WithDefaults()
	var actions []Action
	var serving map[fleet.PoolID]int
	for _, plan := range drivenPlans(in.Snapshot) {
		if !in.holdsLease(plan) {
			actions = append(actions, in.acquireLease(plan)...)
			continue
		}
		if serving == nil {
			serving = in.countServing()
		}
		d := planDecider{input: in, now: now, plan: plan, serving: serving}
		actions = append(actions, d.decide()...)
	}
	return actions
}

// drivenPlans returns the plans that need a driver, sorted by ID.
func drivenPlans(s *fleet.Snapshot) []fleet.Plan {
	return slices.SortedFunc(func(yield func(fleet.Plan) bool) {
		for plan := range maps.Values(s.Plans) {
			if plan.State.NeedsDriver() && !yield(plan) {
				return
			}
		}
	}, func(a, b fleet.Plan) int { return cmp.Compare(a.ID, b.ID) })
}

// planDecider computes the next actions for one plan whose lease this process holds.
type planDecider struct {
	input   Input
	now     time.Time
	plan    fleet.Plan
	serving map[fleet.PoolID]int // Shared by the plans of one call of NextActions.

	moving        movingVMs
	hasFailedStep bool
	rows          []rowWrite
	next          *fleet.Plan
	acts          []Action
	reasons       []string
}

// decide returns the next actions for the plan.
func (d *planDecider) decide() []Action {
	d.moving = countMovingVMs(d.plan, d.input.Snapshot)
	d.hasFailedStep = slices.ContainsFunc(d.plan.Moves, func(m fleet.MoveStep) bool { return m.Failed != "" })
	unsettled := 0
	for i := range d.plan.Moves {
		if !d.decideStep(i) {
			unsettled++
		}
	}
	if d.next == nil && len(d.rows) == 0 && len(d.acts) == 0 {
		d.endIfSettled(unsettled)
		d.failIfStalled()
	}
	if d.next == nil && d.input.renewDue(d.now, d.plan) {
		d.nextPlanRow()
		d.reasons = append(d.reasons, "renew the lease")
	}
	return d.buildActions()
}

// buildActions returns the collected writes as one transaction, followed by the acts.
func (d *planDecider) buildActions() []Action {
	if d.next == nil && len(d.rows) == 0 {
		return d.acts
	}
	priority := store.PriorityProgress
	if d.next != nil {
		// A delayed write of the plan row could lose the lease.
		priority = store.PrioritySafety
	}
	action, err := d.input.commitAction(d.plan, d.next, d.rows, priority, strings.Join(d.reasons, "; "))
	if err != nil {
		return d.acts
	}
	return append([]Action{action}, d.acts...)
}

// decideStep adds the next decision on step i. It reports whether the step needs no
// further action: it is done, has failed, or does not start because another step
// has failed.
func (d *planDecider) decideStep(i int) (settled bool) {
	m := d.plan.Moves[i]
	if m.Done || m.Failed != "" {
		return true
	}
	vm, ok := d.input.Snapshot.VMs[m.VM]
	if !ok {
		d.handleMissingVM(i)
		return false
	}
	in := d.moveInput(m, vm)
	in.StartAllowed = d.waitReason(m, vm) == ""
	decision := move.Next(in)
	d.applyDecision(i, vm, decision, in.StartAllowed)
	idle := decision.Write == nil && decision.Act == move.ActNone && decision.Failed == ""
	return idle && d.hasFailedStep && vm.Phase == fleet.PhaseServing && vm.Plan == d.plan.ID
}

// handleMissingVM handles a step whose VM has no row. A cancelled plan counts the step
// as done, because there is no VM to return to service.
func (d *planDecider) handleMissingVM(i int) {
	if d.plan.State == fleet.PlanCancelling {
		d.nextPlanRow().Moves[i].Done = true
		return
	}
	d.failStep(i, "VM "+string(d.plan.Moves[i].VM)+" does not exist")
}

// moveInput returns the input for the decision on one move. Time before the plan
// entered its current state does not count as time without a change of the VM row.
func (d *planDecider) moveInput(m fleet.MoveStep, vm fleet.VM) move.Input {
	in := move.Input{
		VM: vm, Step: m, Plan: d.plan.ID, Cancel: d.plan.State == fleet.PlanCancelling,
		Evidence: d.input.Evidence[m.VM], Limits: d.input.Limits.Move,
	}
	if observed, ok := d.input.Observed[fleet.VMKey(m.VM)]; ok && observed.Version == vm.Version {
		since := observed.FirstRead
		if state := d.input.Observed[fleet.PlanKey(d.plan.ID)].StateSince; state.After(since) {
			since = state
		}
		in.Unchanged = d.now.Sub(since)
	}
	return in
}

// applyDecision adds the writes and the act that were decided for step i. mayStart
// reports whether the step was permitted to start.
func (d *planDecider) applyDecision(i int, vm fleet.VM, decision move.Decision, mayStart bool) {
	if decision.Write != nil {
		d.rows = append(d.rows, rowWrite{fleet.VMKey(vm.ID), vm.Version, *decision.Write})
		d.reasons = append(d.reasons, string(vm.ID)+" "+string(decision.Write.Phase)+": "+decision.Reason)
		if mayStart && decision.Write.Phase == fleet.PhaseDraining {
			d.moving.add(vm)
			if d.input.routable(vm) {
				d.serving[vm.Pool]--
			}
		}
	}
	if decision.Done {
		d.nextPlanRow().Moves[i].Done = true
	}
	if decision.Failed != "" {
		d.failStep(i, decision.Failed)
	}
	if decision.Act != move.ActNone && d.now.Sub(d.input.LastActAt[vm.ID]) >= d.input.Limits.ActInterval {
		d.acts = append(d.acts, Action{Plan: d.plan.ID, Act: decision.Act, VM: vm, Reason: decision.Reason})
	}
}

func (d *planDecider) failStep(i int, reason string) {
	d.nextPlanRow().Moves[i].Failed = reason
	d.reasons = append(d.reasons, reason)
}

// nextPlanRow returns the plan row to write, with a renewed lease.
func (d *planDecider) nextPlanRow() *fleet.Plan {
	if d.next == nil {
		next := d.plan
		next.Moves = slices.Clone(d.plan.Moves)
		next.Renewal++
		d.next = &next
	}
	return d.next
}

// waitReason returns why a VM is not allowed to start draining now, or "" if it is.
func (d *planDecider) waitReason(m fleet.MoveStep, vm fleet.VM) string {
	if d.hasFailedStep || d.plan.State != fleet.PlanConfirmed || vm.Phase != fleet.PhaseServing {
		return "no further step starts"
	}
	for _, j := range m.After {
		if j >= len(d.plan.Moves) || !d.plan.Moves[j].Done {
			return fmt.Sprintf("step %d is not done", j+1)
		}
	}
	if floor, ok := d.plan.Floors[vm.Pool]; ok && d.input.routable(vm) && d.serving[vm.Pool]-1 < floor {
		return fmt.Sprintf("pool %s has %d serving VMs and the plan keeps %d", vm.Pool, d.serving[vm.Pool], floor)
	}
	if !d.moving.allowsOneMore(vm) {
		return "as many VMs as the plan permits are being moved"
	}
	return ""
}

// failIfStalled fails the next step of a plan that could not start a step for too
// long, for example because other VMs of a pool have failed.
func (d *planDecider) failIfStalled() {
	if d.next != nil || d.moving.total > 0 || d.now.Sub(d.input.Observed[fleet.PlanKey(d.plan.ID)].ProgressSince) < d.input.Limits.StallAfter {
		return
	}
	for i, m := range d.plan.Moves {
		if !m.Done && m.Failed == "" {
			d.failStep(i, fmt.Sprintf("VM %s could not start to drain within %s: %s", m.VM, d.input.Limits.StallAfter, d.waitReason(m, d.input.Snapshot.VMs[m.VM])))
			return
		}
	}
}
