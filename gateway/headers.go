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
	// maxHeaderValueBytes bounds the headers that the gateway parses, since
	// claim tables store Idempotency-Key and Peridotcrank-Customer.
	maxHeaderValueBytes = 256
	// maxDeadline bounds Peridotcrank-Deadline-Ms to prevent integer overflow.
	maxDeadline = 24 * time.Hour
)

// singleValue returns the value of a header field. It refuses a repeated field
// and a value that is too long.
func singleValue(h http.Header, name string) (value string, present bool, ref *refusal) {
	values := h[name]
	switch {
	case len(values) == 0:
		return "", false, nil
	case len(values) > 1:
		return "", true, badRequestRefusal(name + " occurs more than once")
	case len(values[0]) > maxHeaderValueBytes:
		return "", true, badRequestRefusal(name + " is too long")
	}
	return values[0], true, nil
}

// parseIdempotencyKey returns the key, or "" when the request has none.
func parseIdempotencyKey(h http.Header) (string, *refusal) {
	key, present, ref := singleValue(h, HeaderIdempotencyKey)
	if ref == nil && present && key == "" {
		ref = badRequestRefusal(HeaderIdempotencyKey + " is empty")
	}
	return key, ref
}

// parseCustomer returns the customer, or "" when the request names none.
func parseCustomer(h http.Header) (fleet.CustomerID, *refusal) {
	value, _, ref := singleValue(h, HeaderCustomer)
	return fleet.CustomerID(value), ref
}

// parseCallerTimeout returns the caller's remaining time, at most limit. It
// returns limit when the request has no deadline.
func parseCallerTimeout(h http.Header, limit time.Duration) (time.Duration, *refusal) {
	value, present, ref := singleValue(h, HeaderDeadline)
	if !present || ref != nil {
		return limit, ref
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, badRequestRefusal(HeaderDeadline + " is not a number of milliseconds")
	}
	remaining := time.Duration(min(ms, int64(maxDeadline/time.Millisecond))) * time.Millisecond
	if remaining <= 0 {
		return 0, shedRefusal("the deadline has passed", 0)
	}
	return min(remaining, limit), nil
}

// setDeadlineHeader sets the remaining time in whole milliseconds, at least 1.
// It rounds down, so that the backend server never assumes more time than
// remains.
func setDeadlineHeader(h http.Header, remaining time.Duration) {
	h[HeaderDeadline] = []string{strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)}
}

// isIdempotentMethod reports whether HTTP defines the method as idempotent.
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}
