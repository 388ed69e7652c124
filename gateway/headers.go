package gateway

import (
	"net/http"
	"strconv"
	"time"

	"peridotcrank.dev/fleet"
)

// Header fields that the gateway reads or sets, in canonical form.
const (
	HeaderOutcome        = "Peridotcrank-Outcome"
	HeaderDeadline       = "Peridotcrank-Deadline-Ms"
	HeaderCustomer       = "Peridotcrank-Customer"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Bounds of header values.
const (
	// maxKeyBytes bounds Idempotency-Key and Peridotcrank-Customer, since both
	// are kept in claim tables.
	maxKeyBytes = 256
	// maxDeadline bounds Peridotcrank-Deadline-Ms, so that arithmetic cannot overflow.
	maxDeadline = 24 * time.Hour
)

// single returns the value of a field that may occur at most once.
func single(h http.Header, name string) (value string, present bool, ref *refusal) {
	values := h[name]
	switch {
	case len(values) == 0:
		return "", false, nil
	case len(values) > 1:
		return "", true, badRequest(name + " occurs more than once")
	case len(values[0]) > maxKeyBytes:
		return "", true, badRequest(name + " is too long")
	}
	return values[0], true, nil
}

// idempotencyKey returns the key, or "" when the request has none.
func idempotencyKey(h http.Header) (string, *refusal) {
	key, present, ref := single(h, HeaderIdempotencyKey)
	if ref == nil && present && key == "" {
		ref = badRequest(HeaderIdempotencyKey + " is empty")
	}
	return key, ref
}

func customer(h http.Header) (fleet.CustomerID, *refusal) {
	value, _, ref := single(h, HeaderCustomer)
	return fleet.CustomerID(value), ref
}

// callerTimeout returns the time that the caller has left, at most limit.
func callerTimeout(h http.Header, limit time.Duration) (time.Duration, *refusal) {
	value, present, ref := single(h, HeaderDeadline)
	if !present || ref != nil {
		return limit, ref
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, badRequest(HeaderDeadline + " is not a number of milliseconds")
	}
	left := time.Duration(min(ms, int64(maxDeadline/time.Millisecond))) * time.Millisecond
	if left <= 0 {
		return 0, shed("the deadline has passed", 0)
	}
	return min(left, limit), nil
}

// setDeadline passes on the time left in whole milliseconds, rounded down so
// that the backend server never expects more time than there is.
func setDeadline(h http.Header, left time.Duration) {
	h[HeaderDeadline] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}
