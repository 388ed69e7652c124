package exchange

import (
	"context"
	"errors"
	"fmt"
)

// Progress says how far an exchange got.
type Progress uint8

// Progress values.
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

// Step names the part of an exchange in which an error arose.
type Step string

// Steps of an exchange, in order.
const (
	StepPrepare  Step = "prepare request"
	StepConnect  Step = "wait for connection"
	StepDial     Step = "dial"
	StepRecheck  Step = "recheck before write"
	StepWrite    Step = "write request"
	StepReadHead Step = "read response header"
	StepReadBody Step = "read response body"
)

// Errors that *Error wraps, besides those of the connection and the context.
var (
	ErrClosed = errors.New("client is closed")
	ErrMethod = errors.New("request method is not a token")
	// ErrTarget reports a request target that is not in origin form.
	ErrTarget = errors.New("request target is not in origin form")
	// ErrOverlong reports bytes after the declared end of the response.
	ErrOverlong = errors.New("response is longer than declared")
	// ErrUndelimited reports a response that ends with the connection: a
	// truncated one cannot be told from a complete one.
	ErrUndelimited = errors.New("response declares no length")
	// ErrHeaderTooLarge reports a response header above Options.MaxHeaderBytes.
	ErrHeaderTooLarge = errors.New("response header is too large")
	// ErrInterim reports too many 1xx responses or a switch of protocols.
	ErrInterim = errors.New("unexpected interim response")
	// ErrUnsolicited reports a 408 on a reused connection, which servers send
	// when an idle connection times out and which may not answer this request.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ProgressOf returns the progress that err carries. An error of another type
// proves nothing, so its progress is Written.
func ProgressOf(err error) Progress {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Progress
	}
	return Written
}

// withContext adds the context's error, so that callers can tell a deadline
// from a broken connection.
func withContext(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}
