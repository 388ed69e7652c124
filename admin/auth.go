package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"slices"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/exchange/bearer"
	"peridotcrank.dev/settings"
)

const stepAuthenticate = "authenticate"

// authenticator identifies the operator of a request by its bearer token.
type authenticator struct {
	operators []settings.Operator
	now       func() time.Time
}

// authenticate returns the operator whose token the request contains. With an
// error it returns the code of the event to record.
func (a *authenticator) authenticate(r *http.Request) (*settings.Operator, eventlog.Code, error) {
	token, ok := bearer.Token(r.Header, MaxTokenBytes)
	if !ok {
		return nil, eventlog.AdminUnauthorized, Errorf(CodeUnauthenticated, stepAuthenticate, "a bearer token is required")
	}
	operator := a.findOperator(sha256.Sum256([]byte(token)))
	if operator == nil {
		return nil, eventlog.AdminUnauthorized, Errorf(CodeUnauthenticated, stepAuthenticate, "the token is not known")
	}
	if !operator.Expires.IsZero() && !a.now().Before(operator.Expires) {
		return nil, eventlog.AdminTokenExpired, Errorf(CodeUnauthenticated, stepAuthenticate, "the token has expired")
	}
	return operator, 0, nil
}

// findOperator returns the operator with the token hash, or nil. It compares all
// hashes, each in constant time, so that the duration does not reveal how much
// of a hash matches.
func (a *authenticator) findOperator(hash [sha256.Size]byte) *settings.Operator {
	found := -1
	for i := range a.operators {
		equal := subtle.ConstantTimeCompare(hash[:], a.operators[i].TokenSHA256[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return nil
	}
	return &a.operators[found]
}

// hasRole reports whether one of the operator's roles includes the role.
func hasRole(o *settings.Operator, role settings.Role) bool {
	return slices.ContainsFunc(o.Roles, func(held settings.Role) bool { return held.Includes(role) })
}
