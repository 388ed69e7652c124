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
	OutcomeNotRun   Outcome = "not-run"          // Provably not run.
	OutcomeUnknown  Outcome = "unknown"          // May have been run.
	OutcomeAnswered Outcome = "backend-answered" // Status and body are the backend server's own.
)

// minRetryAfter is the smallest value that Retry-After can express.
const minRetryAfter = time.Second

// refusal is a response that the gateway gives on its own behalf.
type refusal struct {
	status     int
	outcome    Outcome
	reason     string
	retryAfter time.Duration // Sent as Retry-After when positive.
	err        error
}

func badRequest(reason string) *refusal {
	return &refusal{status: http.StatusBadRequest, outcome: OutcomeNotRun, reason: reason}
}

func notRun(status int, reason string) *refusal {
	return &refusal{status: status, outcome: OutcomeNotRun, reason: reason}
}

// shed refuses a request before it was sent.
func shed(reason string, retryAfter time.Duration) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, outcome: OutcomeNotRun,
		reason: reason, retryAfter: max(retryAfter, minRetryAfter),
	}
}

func unknown(status int, reason string, err error) *refusal {
	return &refusal{status: status, outcome: OutcomeUnknown, reason: reason, err: err}
}

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
	_, _ = w.Write([]byte(body)) // A caller that has gone away needs no answer.
}
