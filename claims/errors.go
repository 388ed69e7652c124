package claims

import (
	"errors"
	"fmt"

	"peridotcrank.dev/fleet"
)

// Causes of an Error. Compare them with errors.Is.
var (
	ErrKeyTooLong        = errors.New("key is too long")
	ErrViewNotValid      = errors.New("member view is not valid")
	ErrLeaving           = errors.New("process is handing over its claims")
	ErrRecovering        = errors.New("claims of the key's range are not recovered yet")
	ErrUndecided         = errors.New("owner does not know whether the key was claimed")
	ErrContested         = errors.New("another member claimed the key at the same time")
	ErrNotInView         = errors.New("process is not in the member view")
	ErrViewsDiffer       = errors.New("member views differ")
	ErrUnexpectedMessage = errors.New("unexpected reply")
	ErrWrongSender       = errors.New("message names another member than its sender")
	ErrClaimsIncomplete  = errors.New("claims are incomplete, so the handover cannot be completed")
	ErrTableFull         = errors.New("claim table is full")
)

// Step is the step of a claim or handover that failed.
type Step string

// Steps of a claim or handover.
const (
	StepRecord   Step = "record claim"
	StepView     Step = "await member view"
	StepOwner    Step = "ask owner"
	StepCopy     Step = "store copy"
	StepHandover Step = "hand over"
)

// Error reports which step of a claim or handover failed, at which peer and why.
type Error struct {
	Step Step
	Peer fleet.MemberID // Empty if the step failed in this process.
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("claims: %s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("claims: %s: %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
