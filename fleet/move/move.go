package move

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"peridotcrank.dev/fleet"
)

// Act is an action of the driver other than writing rows.
type Act uint8

// Actions of the driver.
const (
	ActNone Act = iota
	ActQueryDrain
	ActReboot // Start the reboot VM.Operation if the platform does not know it, and query its state.
	ActProbe
)

// String returns the act's name.
func (a Act) String() string {
	return [...]string{"none", "query drain", "reboot", "probe"}[a]
}

// Input is the state of one move, from which [Next] derives a decision.
type Input struct {
	VM   fleet.VM
	Step fleet.MoveStep
	Plan fleet.PlanID
	// Cancel requests the return of the VM to service as early as possible.
	Cancel bool
	// StartAllowed reports whether the drain is allowed to start now.
	StartAllowed bool
	Evidence     Evidence
	// Unchanged is how long the row has been unchanged, as observed by the driver.
	Unchanged time.Duration
	Limits    Limits
}

// Decision is the next step of a move. The zero Decision means to wait.
type Decision struct {
	// Write is the VM row to write, or nil.
	Write *fleet.VM
	// Act is the action to perform if Write is nil.
	Act Act
	// Done reports that the step is complete once Write is applied.
	Done bool
	// Failed says why the step needs an operator. It is empty if the step can continue.
	Failed string
	// Reason explains the decision in logs and in the plan.
	Reason string
}

// reservationLimit is the maximum time for which the VM row in the driver's snapshot can
// lack the plan's reservation, because that row can be older than the plan row.
const reservationLimit = time.Minute

// Next returns the next decision of a move. Once the step is done it returns the zero
// Decision.
func Next(in Input) Decision {
	in.Limits = in.Limits.WithDefaults()
	if in.Evidence.Version != in.VM.Version {
		in.Evidence = Evidence{}
	}
	if in.Step.Done {
		return Decision{}
	}
	if in.VM.Plan != in.Plan {
		return in.notReserved()
	}
	switch in.VM.Phase {
	case fleet.PhaseServing:
		return in.serving()
	case fleet.PhaseDraining:
		return in.draining()
	case fleet.PhaseDrained:
		return in.drained()
	case fleet.PhaseMoved:
		return in.moved()
	case fleet.PhaseRebooted:
		return in.probing()
	case fleet.PhaseProbed:
		return in.returnToService("the VM serves in pool " + string(in.VM.Pool))
	}
	return Decision{Failed: fmt.Sprintf("phase %q is not known", in.VM.Phase)}
}

// notReserved waits for the plan's reservation to appear in the VM's row. After
// reservationLimit the step fails, or is done if it was cancelled.
func (in Input) notReserved() Decision {
	if in.Unchanged < reservationLimit {
		return Decision{}
	}
	if in.Cancel {
		return Decision{Done: true, Reason: "the VM is not reserved by the plan"}
	}
	return Decision{Failed: fmt.Sprintf("VM %s is not reserved by the plan", in.VM.ID)}
}

func (in Input) serving() Decision {
	switch {
	case in.Cancel:
		return in.returnToService("cancelled before the drain")
	case in.StartAllowed:
		return in.transition(fleet.PhaseDraining, "drain starts")
	}
	return Decision{}
}

func (in Input) draining() Decision {
	if in.Cancel {
		return in.returnToService("cancelled during the drain")
	}
	reason := in.Evidence.LastError
	if in.Evidence.Drain != nil {
		drained, why := in.Evidence.Drain.Drained(in.VM.Version)
		if drained {
			return in.transition(fleet.PhaseDrained, "every member has confirmed the drain")
		}
		reason = why
	}
	if in.Unchanged >= in.Limits.Drain {
		d := in.transition(fleet.PhaseServing, "drain given up")
		d.Failed = fmt.Sprintf("VM %s did not drain within %s: %s", in.VM.ID, in.Limits.Drain, reason)
		return d
	}
	return Decision{Act: ActQueryDrain, Reason: reason}
}

func (in Input) drained() Decision {
	if in.Cancel {
		return in.returnToService("cancelled before the move")
	}
	d := in.transition(fleet.PhaseMoved, "the VM moves to pool "+string(in.Step.To))
	if in.Step.From != in.Step.To {
		d.Write.Pool = in.Step.To
		d.Write.Generation++
	}
	if in.Step.Reboot {
		d.Write.Attempt = 1
		d.Write.Operation = Operation(in.Plan, *d.Write)
	}
	return d
}

// moved waits for the reboot. Once the VM has changed pools, a cancelled step runs to
// completion, because the VM can only serve after the reboot and the probe.
func (in Input) moved() Decision {
	if !in.Step.Reboot {
		return in.probing()
	}
	switch in.Evidence.Reboot {
	case fleet.RebootDone:
		return in.transition(fleet.PhaseRebooted, "reboot done")
	case fleet.RebootFailed:
		return in.retryReboot()
	}
	if in.Unchanged >= in.Limits.Reboot {
		return Decision{Failed: fmt.Sprintf("VM %s did not reboot within %s: %s", in.VM.ID, in.Limits.Reboot, in.Evidence.LastError)}
	}
	return Decision{Act: ActReboot, Reason: in.Evidence.LastError}
}

// retryReboot stores the next reboot attempt. A cancelled plan has twice the number of
// attempts.
func (in Input) retryReboot() Decision {
	limit := in.Limits.MaxReboots
	if in.Cancel {
		limit *= 2
	}
	if in.VM.Attempt >= limit {
		return Decision{Failed: fmt.Sprintf("%d reboots of VM %s failed", in.VM.Attempt, in.VM.ID)}
	}
	d := in.transition(fleet.PhaseMoved, "reboot failed; next attempt")
	d.Write.Attempt++
	d.Write.Operation = Operation(in.Plan, *d.Write)
	return d
}

func (in Input) probing() Decision {
	switch {
	case in.Evidence.Probed:
		return in.transition(fleet.PhaseProbed, "probe answered")
	case in.Unchanged >= in.Limits.Probe:
		return Decision{Failed: fmt.Sprintf("VM %s did not answer a probe within %s: %s", in.VM.ID, in.Limits.Probe, in.Evidence.LastError)}
	}
	return Decision{Act: ActProbe, Reason: in.Evidence.LastError}
}

// transition returns a decision that writes the VM's row with another phase.
func (in Input) transition(phase fleet.Phase, reason string) Decision {
	vm := in.VM
	vm.Phase = phase
	return Decision{Write: &vm, Reason: reason}
}

// returnToService returns the VM to service in its current pool, removes the
// reservation, and completes the step.
func (in Input) returnToService(reason string) Decision {
	d := in.transition(fleet.PhaseServing, reason)
	d.Write.Plan, d.Write.Operation, d.Write.Attempt = "", "", 0
	d.Done = true
	return d
}

// operationNamespace is the UUID namespace of reboot identities.
var operationNamespace = uuid.MustParse("6f1f4a52-8a5e-4f0e-9c0b-3d6f1f0a7e11")

// Operation returns the identity of a reboot. Every process derives the same identity
// from the same row, so that requesting a reboot again has no further effect.
func Operation(plan fleet.PlanID, vm fleet.VM) string {
	name := fmt.Sprintf("%s/%s/%d/%d", plan, vm.ID, vm.Generation, vm.Attempt)
	return uuid.NewSHA1(operationNamespace, []byte(name)).String()
}
