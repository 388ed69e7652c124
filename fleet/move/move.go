package move

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"peridotcrank.dev/fleet"
)

// Act is something that the driver does outside the table.
type Act uint8

// Acts.
const (
	ActNone Act = iota
	ActQueryDrain
	ActReboot // Start the reboot VM.Operation unless it is known, and ask for its state.
	ActProbe
)

// String returns the act's name.
func (a Act) String() string {
	return [...]string{"none", "query drain", "reboot", "probe"}[a]
}

// Input is the state of one move.
type Input struct {
	VM   fleet.VM
	Step fleet.MoveStep
	Plan fleet.PlanID
	// Cancel asks to return the VM to service as early as possible.
	Cancel bool
	// MayStart permits to start the drain now.
	MayStart bool
	Evidence Evidence
	// Unchanged is the time for which the driver has seen the row unchanged.
	Unchanged time.Duration
	Limits    Limits
}

// Decision is what to do next. The zero Decision means to wait.
type Decision struct {
	// Write is the next VM row, when not nil.
	Write *fleet.VM
	// Act is the next act, when Write is nil.
	Act Act
	// Done reports that the step is complete once Write is applied.
	Done bool
	// Failed says why the step needs an operator.
	Failed string
	// Reason describes the decision for logs and the plan's readers.
	Reason string
}

// reservationLimit is the time for which a reservation may be missing from the
// driver's snapshot of the VM row, which can be older than that of the plan row.
const reservationLimit = time.Minute

// Next returns the next decision of a move.
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
		return in.release("the VM serves in pool " + string(in.VM.Pool))
	}
	return Decision{Failed: fmt.Sprintf("phase %q is not known", in.VM.Phase)}
}

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
		return in.release("cancelled before the drain")
	case in.MayStart:
		return in.write(fleet.PhaseDraining, "drain starts")
	}
	return Decision{}
}

func (in Input) draining() Decision {
	if in.Cancel {
		return in.release("cancelled during the drain")
	}
	reason := in.Evidence.LastError
	if in.Evidence.Drain != nil {
		drained, why := in.Evidence.Drain.Drained(in.VM.Version)
		if drained {
			return in.write(fleet.PhaseDrained, "every member has confirmed the drain")
		}
		reason = why
	}
	if in.Unchanged >= in.Limits.Drain {
		d := in.write(fleet.PhaseServing, "drain given up")
		d.Failed = fmt.Sprintf("VM %s did not drain within %s: %s", in.VM.ID, in.Limits.Drain, reason)
		return d
	}
	return Decision{Act: ActQueryDrain, Reason: reason}
}

func (in Input) drained() Decision {
	if in.Cancel {
		return in.release("cancelled before the move")
	}
	d := in.write(fleet.PhaseMoved, "the VM moves to pool "+string(in.Step.To))
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

// moved waits for the reboot. After the move of the pool a cancelled step runs
// to its end, because the VM can only serve after the reboot and the probe.
func (in Input) moved() Decision {
	if !in.Step.Reboot {
		return in.probing()
	}
	switch in.Evidence.Reboot {
	case fleet.RebootDone:
		return in.write(fleet.PhaseRebooted, "reboot done")
	case fleet.RebootFailed:
		return in.rebootAgain()
	}
	if in.Unchanged >= in.Limits.Reboot {
		return Decision{Failed: fmt.Sprintf("VM %s did not reboot within %s: %s", in.VM.ID, in.Limits.Reboot, in.Evidence.LastError)}
	}
	return Decision{Act: ActReboot, Reason: in.Evidence.LastError}
}

// rebootAgain records the next attempt. A cancelled plan has as many attempts again.
func (in Input) rebootAgain() Decision {
	limit := in.Limits.Reboots
	if in.Cancel {
		limit *= 2
	}
	if in.VM.Attempt >= limit {
		return Decision{Failed: fmt.Sprintf("%d reboots of VM %s failed", in.VM.Attempt, in.VM.ID)}
	}
	d := in.write(fleet.PhaseMoved, "reboot failed; next attempt")
	d.Write.Attempt++
	d.Write.Operation = Operation(in.Plan, *d.Write)
	return d
}

func (in Input) probing() Decision {
	switch {
	case in.Evidence.Probed:
		return in.write(fleet.PhaseProbed, "probe answered")
	case in.Unchanged >= in.Limits.Probe:
		return Decision{Failed: fmt.Sprintf("VM %s did not answer a probe within %s: %s", in.VM.ID, in.Limits.Probe, in.Evidence.LastError)}
	}
	return Decision{Act: ActProbe, Reason: in.Evidence.LastError}
}

func (in Input) write(phase fleet.Phase, reason string) Decision {
	vm := in.VM
	vm.Phase = phase
	return Decision{Write: &vm, Reason: reason}
}

// release returns the VM to service, in the pool that it is in, and ends the step.
func (in Input) release(reason string) Decision {
	d := in.write(fleet.PhaseServing, reason)
	d.Write.Plan, d.Write.Operation, d.Write.Attempt = "", "", 0
	d.Done = true
	return d
}

// operations is the name space of the identities of reboots.
var operations = uuid.MustParse("6f1f4a52-8a5e-4f0e-9c0b-3d6f1f0a7e11")

// Operation returns the identity of a reboot. Every process derives the same
// identity from the same row, so that a repeated reboot has no further effect.
func Operation(plan fleet.PlanID, vm fleet.VM) string {
	name := fmt.Sprintf("%s/%s/%d/%d", plan, vm.ID, vm.Generation, vm.Attempt)
	return uuid.NewSHA1(operations, []byte(name)).String()
}
