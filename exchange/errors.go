package exchange

import (
	"context"
	"errors"
	"fmt"
)

// Progress tells how much of an exchange was completed.
type Progress uint8

// Values of Progress, in order.
const (
	NotWritten Progress = iota // No byte of the request was written.
	Written                    // At least one byte was written and no complete response arrived.
	Answered                   // A complete response was read.
)

func (p Progress) String() string {
	switch p {
	case NotWritten:
		return "not written"
	case Written:
		return "written"
	case Answered:
		return "answered"
	}
	return fmt.Sprintf("Progress(%d)", uint8(p))
}

// Step identifies the part of an exchange in which an error occurred.
type Step string

// Steps of an exchange, in order.
const (
	StepPrepare     Step = "prepare request"
	StepAcquire     Step = "wait for connection"
	StepDial        Step = "dial"
	StepBeforeWrite Step = "recheck before write"
	StepWrite       Step = "write request"
	StepReadHeader  Step = "read response header"
	StepReadBody    Step = "read response body"
)

// Errors that *Error wraps, besides those of the connection and the context.
var (
	ErrClosed        = errors.New("client is closed")
	ErrInvalidMethod = errors.New("request method is not a token")
	// ErrInvalidTarget reports a request target that is not in origin form, which
	// is an absolute path with an optional query.
	ErrInvalidTarget = errors.New("request target is not in origin form")
	// ErrResponseTooLong reports bytes after the declared end of the response.
	ErrResponseTooLong = errors.New("response is longer than declared")
	// ErrNoResponseLength reports a response whose body ends when the connection
	// closes, since a truncated body could not be distinguished from a complete one.
	ErrNoResponseLength = errors.New("response declares no length")
	// ErrHeaderTooLarge reports a response header above Options.MaxHeaderBytes.
	ErrHeaderTooLarge = errors.New("response header is too large")
	// ErrUnexpectedInterim reports too many 1xx responses or a switch of protocols.
	ErrUnexpectedInterim = errors.New("unexpected interim response")
	// ErrUnsolicited reports a 408 on a reused connection. Servers send it when an
	// idle connection times out, so it may not be the response to this request.
	ErrUnsolicited = errors.New("response may not belong to the request")
)

// Error reports a failed exchange.
type Error struct {
	Step     Step
	Peer     string // IP:port of the backend server.
	Progress Progress
	Err      error
}

func (e *Error) Error() string {
	return fmt.Sprintf("exchange with %s: %s (%s): %v", e.Peer, e.Step, e.Progress, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// ProgressOf returns the progress of an *Error in the chain of err. For any other
// error it returns Written, since the request may have been sent.
func ProgressOf(err error) Progress {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Progress
	}
	return Written
}

// withContextError wraps the context's error together with err, so that callers
// can tell a deadline from a broken connection.
func withContextError(ctx context.Context, err error) error {
	if ctxErr := ctx.Err(); ctxErr != nil && !errors.Is(err, ctxErr) {
		return fmt.Errorf("%w: %w", ctxErr, err)
	}
	return err
}
