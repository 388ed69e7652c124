package admin

import (
	"errors"
	"fmt"
	"maps"
	"net/http"

	"peridotcrank.dev/fleet"
)

// ErrorCode identifies a kind of error to clients of the API.
type ErrorCode string

// Error codes of the API.
const (
	CodeInvalid          ErrorCode = "invalid"             // The request is malformed.
	CodeUnauthenticated  ErrorCode = "unauthenticated"     // The request has no valid token.
	CodeForbidden        ErrorCode = "forbidden"           // The role does not permit the request.
	CodeNotFound         ErrorCode = "not-found"           // The route or object does not exist.
	CodeMethodNotAllowed ErrorCode = "method-not-allowed"  // The route does not support the method.
	CodeConflict         ErrorCode = "conflict"            // The current state does not permit the change; Conflict has the reason.
	CodeTooLarge         ErrorCode = "too-large"           // The body exceeds MaxBodyBytes.
	CodeRequestIDReused  ErrorCode = "request-id-reused"   // The Request-Id was used for another request.
	CodeInProgress       ErrorCode = "request-in-progress" // The same request is in progress.
	CodeUnavailable      ErrorCode = "unavailable"         // The request was not carried out; a later attempt may succeed.
	CodeOutcomeUnknown   ErrorCode = "outcome-unknown"     // The change may or may not have taken effect.
	CodeInternal         ErrorCode = "internal"            // The server has an internal fault.
)

var statusByCode = map[ErrorCode]int{
	CodeInvalid:          http.StatusBadRequest,
	CodeUnauthenticated:  http.StatusUnauthorized,
	CodeForbidden:        http.StatusForbidden,
	CodeNotFound:         http.StatusNotFound,
	CodeMethodNotAllowed: http.StatusMethodNotAllowed,
	CodeConflict:         http.StatusConflict,
	CodeTooLarge:         http.StatusRequestEntityTooLarge,
	CodeRequestIDReused:  http.StatusUnprocessableEntity,
	CodeInProgress:       http.StatusTooEarly,
	CodeUnavailable:      http.StatusServiceUnavailable,
	CodeOutcomeUnknown:   http.StatusGatewayTimeout,
	CodeInternal:         http.StatusInternalServerError,
}

// Status returns the HTTP status of the code, 500 for an unknown one.
func (c ErrorCode) Status() int {
	if status, ok := statusByCode[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Error is the body of every error reply.
type Error struct {
	Code    ErrorCode `json:"code"`
	Step    string    `json:"step"`           // Step at which the error occurred, for example "authenticate".
	Peer    string    `json:"peer,omitempty"` // Remote peer of that step, for example a member or the store.
	Message string    `json:"message"`
	// Conflict describes why a change was refused, with CodeConflict.
	Conflict *Conflict `json:"conflict,omitempty"`

	// Cause is used for the log and errors.Is; it is not sent to operators.
	Cause error `json:"-"`
}

// Conflict describes what a refused change conflicts with.
type Conflict struct {
	// Plan and Step name the confirmed plan that the change conflicts with.
	Plan fleet.PlanID `json:"plan,omitempty"`
	Step string       `json:"step,omitempty"`
	// Changed holds the rows that have changed, with their current versions.
	Changed []fleet.RowVersion `json:"changed,omitempty"`
}

func (e *Error) Error() string {
	location := e.Step
	if e.Peer != "" {
		location += " at " + e.Peer
	}
	return fmt.Sprintf("%s: %s (%s)", location, e.Message, e.Code)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Errorf returns an error with a code, a step and a formatted message. Its cause
// is the error that the format wraps with %w.
func Errorf(code ErrorCode, step, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Code: code, Step: step, Message: err.Error(), Cause: errors.Unwrap(err)}
}

// Statuses returns the HTTP status of each code.
func Statuses() map[ErrorCode]int { return maps.Clone(statusByCode) }
