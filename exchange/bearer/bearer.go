// Package bearer reads the bearer tokens of HTTP requests.
package bearer

import (
	"net/http"
	"strings"
)

const (
	scheme = "Bearer"
	// Challenge is the value of the WWW-Authenticate header of a response with status 401.
	Challenge = scheme
)

// Token returns the token of the Authorization header. It returns false if the header is
// missing, occurs several times or has another scheme, and if the token is empty or longer
// than maxBytes.
func Token(h http.Header, maxBytes int) (string, bool) {
	values := h.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	found, token, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(found, scheme) || token == "" || len(token) > maxBytes {
		return "", false
	}
	return token, true
}
