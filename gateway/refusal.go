package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// Outcome is the value of the header Peridotcrank-Outcome.
type Outcome string

// Outcomes of a request.
const (
	OutcomeNotRun   Outcome = "not-run"          // The request provably was not run.
	OutcomeUnknown  Outcome = "unknown"          // The request may have been run.
	OutcomeAnswered Outcome = "backend-answered" // Status and body come from the backend server.
)

// minRetryAfter is the smallest value that Retry-After can express.
const minRetryAfter = time.Second

// refusal is an error response that the gateway generates itself.
type refusal struct {
	status     int
	outcome    Outcome
	reason     string
	retryAfter time.Duration // Sent as Retry-After when positive.
	err        error
}

// badRequestRefusal refuses an invalid request with 400 and outcome not-run.
func badRequestRefusal(reason string) *refusal {
	return &refusal{status: http.StatusBadRequest, outcome: OutcomeNotRun, reason: reason}
}

// notRunRefusal refuses a request that provably was not run.
func notRunRefusal(status int, reason string) *refusal {
	return &refusal{status: status, outcome: OutcomeNotRun, reason: reason}
}

// shedRefusal refuses a request that was not run with 503 and Retry-After.
func shedRefusal(reason string, retryAfter time.Duration) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, outcome: OutcomeNotRun,
		reason: reason, retryAfter: max(retryAfter, minRetryAfter),
	}
}

// unknownRefusal reports the failure of a request that may have been run.
func unknownRefusal(status int, reason string, err error) *refusal {
	return &refusal{status: status, outcome: OutcomeUnknown, reason: reason, err: err}
}

// write writes the refusal as a plain-text response.
func (ref *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	if ref.retryAfter > 0 {
		seconds := (ref.retryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	body := ref.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(ref.outcome))
	w.WriteHeader(ref.status)
	_, _ = w.Write([]byte(body)) // Fails only when the caller has disconnected.
}
