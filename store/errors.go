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
	// ErrUnavailable means that no request was sent, or that a read got no valid
	// response. A transaction that fails with it has not taken effect.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrWriteBudget means that the queue of the write budget was full, that a
	// write of higher priority took the place of this one, or that the context
	// ended before the write was granted.
	ErrWriteBudget = errors.New("write budget exhausted")
	// ErrInvalid means that a request was malformed and was not executed.
	ErrInvalid = errors.New("invalid request")
)

// Error describes a failed request: its step, the service it was sent to and
// the cause.
type Error struct {
	Step        string        // For example "commit" or "read vm/".
	Peer        string        // Address of the service.
	Operation   string        // Identity of the transaction; empty for reads.
	LastReadAge time.Duration // Time since the last successful read of the prefix, when a read failed; 0 when there was none.
	Err         error
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s at %s", e.Step, e.Peer)
	if e.Operation != "" {
		s += " (operation " + e.Operation + ")"
	}
	if e.LastReadAge > 0 {
		s += fmt.Sprintf(" (last read %s ago)", e.LastReadAge.Round(time.Millisecond))
	}
	return s + ": " + e.Err.Error()
}

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.Err }
