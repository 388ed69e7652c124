package store

import (
	"errors"
	"fmt"
	"time"
)

// Errors of the client.
var (
	// ErrOutcomeUnknown means that a transaction may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrUnavailable means that the table service was not asked, or did not
	// answer a read. A write that failed with it has not taken effect.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrBudget means that a write gave up its place to writes of higher
	// priority, or waited for the budget until its context ended.
	ErrBudget = errors.New("write budget exhausted")
	// ErrInvalid means that the table service refused a malformed request.
	ErrInvalid = errors.New("invalid request")
)

// Error says at which step and with which peer an error arose.
type Error struct {
	Step      string // For example "commit" or "read vm/".
	Peer      string
	Operation string        // Of a transaction.
	Age       time.Duration // Of the last successful read of the prefix, when a read failed; 0 when there was none.
	Err       error
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s at %s", e.Step, e.Peer)
	if e.Operation != "" {
		s += " (operation " + e.Operation + ")"
	}
	if e.Age > 0 {
		s += fmt.Sprintf(" (last read %s ago)", e.Age.Round(time.Millisecond))
	}
	return s + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
