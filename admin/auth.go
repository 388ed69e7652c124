package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/settings"
)

const stepAuthenticate = "authenticate"

// authenticator finds the operator of a request.
type authenticator struct {
	operators []settings.Operator
	now       func() time.Time
}

// authenticate returns the operator whose token the request carries. The event
// code says how a refusal is logged.
func (a *authenticator) authenticate(r *http.Request) (*settings.Operator, eventlog.Code, error) {
	token, ok := bearerToken(r.Header)
	if !ok {
		return nil, eventlog.AdminUnauthorized, Errorf(CodeUnauthenticated, stepAuthenticate, "a bearer token is required")
	}
	operator := a.find(sha256.Sum256([]byte(token)))
	if operator == nil {
		return nil, eventlog.AdminUnauthorized, Errorf(CodeUnauthenticated, stepAuthenticate, "the token is not known")
	}
	if !operator.Expires.IsZero() && !a.now().Before(operator.Expires) {
		return nil, eventlog.AdminTokenExpired, Errorf(CodeUnauthenticated, stepAuthenticate, "the token has expired")
	}
	return operator, 0, nil
}

// find compares with each hash in constant time and without an early end, so
// that the time does not depend on how much of a hash matches.
func (a *authenticator) find(hash [sha256.Size]byte) *settings.Operator {
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

func bearerToken(h http.Header) (string, bool) {
	values := h.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, token, ok := strings.Cut(values[0], " ")
	return token, ok && strings.EqualFold(scheme, "Bearer") && token != "" && len(token) <= MaxTokenBytes
}

func permits(o *settings.Operator, role settings.Role) bool {
	return slices.ContainsFunc(o.Roles, func(held settings.Role) bool { return held.Includes(role) })
}
