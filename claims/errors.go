package claims

import (
	"errors"
	"fmt"

	"peridotcrank.dev/fleet"
)

// Causes of an Error.
var (
	ErrKeyTooLong   = errors.New("key is too long")
	ErrNotValid     = errors.New("member view is not valid")
	ErrLeaving      = errors.New("process is handing over its claims")
	ErrRecovering   = errors.New("claims of the key's range are not recovered yet")
	ErrUndecided    = errors.New("owner cannot tell whether the key was seen")
	ErrContested    = errors.New("another member claimed the key at the same time")
	ErrNoView       = errors.New("process is not in the member view")
	ErrViewsDiffer  = errors.New("member views differ")
	ErrUnexpected   = errors.New("unexpected reply")
	ErrWrongSender  = errors.New("message names another member than its sender")
	ErrNotCertain   = errors.New("claims are incomplete and cannot be handed over as complete")
	ErrTableTooFull = errors.New("claim table is full")
)

// Step is the point at which an Error arose.
type Step string

// Steps of a claim.
const (
	StepRecord   Step = "record claim"
	StepView     Step = "await member view"
	StepOwner    Step = "ask owner"
	StepCopy     Step = "store copy"
	StepHandover Step = "hand over"
)

// Error is the failure of a claim or handover.
type Error struct {
	Step Step
	Peer fleet.MemberID // Empty when the failure arose in this process.
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
