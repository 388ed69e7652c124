package admin

import (
	"errors"
	"fmt"
	"maps"
	"net/http"

	"peridotcrank.dev/fleet"
)

// ErrorCode names a kind of error.
type ErrorCode string

// Codes of errors.
const (
	CodeInvalid          ErrorCode = "invalid"             // The request cannot be understood.
	CodeUnauthenticated  ErrorCode = "unauthenticated"     // No valid token.
	CodeForbidden        ErrorCode = "forbidden"           // The role does not permit the request.
	CodeNotFound         ErrorCode = "not-found"           // No such route or object.
	CodeMethodNotAllowed ErrorCode = "method-not-allowed"  // The route has other methods.
	CodeConflict         ErrorCode = "conflict"            // The state does not permit the change; Conflict says why.
	CodeTooLarge         ErrorCode = "too-large"           // The body exceeds MaxBodyBytes.
	CodeRequestIDReused  ErrorCode = "request-id-reused"   // The Request-Id was used for another request.
	CodeInProgress       ErrorCode = "request-in-progress" // The same request is being carried out.
	CodeUnavailable      ErrorCode = "unavailable"         // Not carried out; a later attempt may succeed.
	CodeOutcomeUnknown   ErrorCode = "outcome-unknown"     // The change may or may not have taken effect.
	CodeInternal         ErrorCode = "internal"            // A fault of the server.
)

var statuses = map[ErrorCode]int{
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
	if status, ok := statuses[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Error is the body of each reply that is not a success.
type Error struct {
	Code    ErrorCode `json:"code"`
	Step    string    `json:"step"`           // Step at which the error arose, for example "authenticate".
	Peer    string    `json:"peer,omitempty"` // Other side of that step, for example a member or the store.
	Message string    `json:"message"`
	// Conflict says what stands against a change, with CodeConflict.
	Conflict *Conflict `json:"conflict,omitempty"`

	// Cause is for the log and errors.Is; operators do not see it.
	Cause error `json:"-"`
}

// Conflict says what stands against a change.
type Conflict struct {
	// Plan and Step name the confirmed plan that the change conflicts with.
	Plan fleet.PlanID `json:"plan,omitempty"`
	Step string       `json:"step,omitempty"`
	// Changed holds the rows that changed, with their present versions.
	Changed []fleet.RowVersion `json:"changed,omitempty"`
}

func (e *Error) Error() string {
	at := e.Step
	if e.Peer != "" {
		at += " at " + e.Peer
	}
	return fmt.Sprintf("%s: %s (%s)", at, e.Message, e.Code)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Errorf returns an error with a code and a step.
func Errorf(code ErrorCode, step, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Code: code, Step: step, Message: err.Error(), Cause: errors.Unwrap(err)}
}

// Statuses returns the HTTP status of each code.
func Statuses() map[ErrorCode]int { return maps.Clone(statuses) }
