package cli

import (
	"errors"
	"fmt"

	"peridotcrank.dev/admin"
)

// Exit codes of the program. docs/OPERATIONS.md contains the same rows.
const (
	ExitOK          = 0 // The command succeeded.
	ExitFault       = 1 // An internal fault, or the entry process ended with an error.
	ExitInvalid     = 2 // Arguments, settings or the request are not valid.
	ExitRefused     = 3 // The token is not valid or the role does not permit the request.
	ExitNotFound    = 4 // The object does not exist.
	ExitConflict    = 5 // The state does not permit the change.
	ExitUnavailable = 6 // The request was not carried out; a later attempt may succeed.
	ExitUnknown     = 7 // The change may or may not have taken effect.
	ExitIncomplete  = 8 // The command ran, but its result is incomplete or not the requested one.
)

var exitCodes = map[admin.ErrorCode]int{
	admin.CodeInvalid:          ExitInvalid,
	admin.CodeUnauthenticated:  ExitRefused,
	admin.CodeForbidden:        ExitRefused,
	admin.CodeNotFound:         ExitNotFound,
	admin.CodeMethodNotAllowed: ExitInvalid,
	admin.CodeConflict:         ExitConflict,
	admin.CodeTooLarge:         ExitInvalid,
	admin.CodeRequestIDReused:  ExitInvalid,
	admin.CodeInProgress:       ExitUnavailable,
	admin.CodeUnavailable:      ExitUnavailable,
	admin.CodeOutcomeUnknown:   ExitUnknown,
	admin.CodeInternal:         ExitFault,
}

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// invalidf returns an error with ExitInvalid.
func invalidf(format string, args ...any) error {
	return &exitError{ExitInvalid, fmt.Errorf(format, args...)}
}

// incompletef returns an error with ExitIncomplete.
func incompletef(format string, args ...any) error {
	return &exitError{ExitIncomplete, fmt.Errorf(format, args...)}
}

// exitCode returns the exit code for an error, or ExitOK for nil.
func exitCode(err error) int {
	var exit *exitError
	var api *admin.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &api):
		if code, ok := exitCodes[api.Code]; ok {
			return code
		}
	}
	return ExitFault
}
