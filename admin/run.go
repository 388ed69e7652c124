package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"peridotcrank.dev/eventlog"
)

const stepBackend = "backend"

// execute calls the handler of the endpoint, records the result in the event log
// and encodes the reply.
func (s *Server) execute(c *call, endpoint route) reply {
	value, err := s.callHandler(c, endpoint)
	if err != nil {
		err = toAPIError(err, endpoint.IsWrite())
	}
	s.recordResult(c, endpoint, err)
	if err != nil {
		return encodeError(err)
	}
	return encodeReply(http.StatusOK, value)
}

// callHandler calls the handler of the endpoint. It turns a panic into an error,
// so that a fault in one request does not end the process, which also serves
// callers.
func (s *Server) callHandler(c *call, endpoint route) (value any, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.recorder.Record(eventlog.AdminPanic, eventlog.Fields{"route": endpoint.pattern(), "operator": c.operator.Name, "panic": fmt.Sprint(p)})
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	return endpoint.handle(s, c)
}

// toAPIError converts err to an *Error. The text of any other error is only logged,
// since it may reveal internals. A change that fails with such an error may have
// taken effect.
func toAPIError(err error, write bool) error {
	var known *Error
	switch {
	case errors.As(err, &known):
		return known
	case write:
		return &Error{Code: CodeOutcomeUnknown, Step: stepBackend, Message: "the change may or may not have taken effect; repeat it with the same Request-Id", Cause: err}
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled):
		return &Error{Code: CodeUnavailable, Step: stepBackend, Message: "the request was not completed in time", Cause: err}
	}
	return &Error{Code: CodeInternal, Step: stepBackend, Message: "an internal fault occurred; the log of the process has details", Cause: err}
}

// recordResult records each write, and each read that failed with an internal
// error.
func (s *Server) recordResult(c *call, endpoint route, err error) {
	var known *Error
	errors.As(err, &known)
	if !endpoint.IsWrite() {
		if known != nil && known.Code == CodeInternal {
			s.recorder.Record(eventlog.AdminReadFailed, eventlog.Fields{"operator": c.operator.Name, "route": endpoint.pattern(), "error": known.Cause})
		}
		return
	}
	fields, code := c.write.eventFields(endpoint), eventlog.AdminWrite
	if known != nil {
		code = eventlog.AdminWriteFailed
		if known.Code == CodeOutcomeUnknown {
			code = eventlog.AdminWriteUnknown
		}
		fields["error"], fields["cause"] = known, known.Cause
	}
	if c.id != "" {
		fields["id"] = c.id
	}
	s.recorder.Record(code, fields)
}

// encodeReply returns a reply with a JSON body.
func encodeReply(status int, value any) reply {
	body, err := json.Marshal(value)
	if err != nil {
		return encodeError(&Error{Code: CodeInternal, Step: "encode", Message: "the reply cannot be encoded", Cause: err})
	}
	return reply{status: status, body: append(body, '\n')}
}

// encodeError returns the reply to a request that failed.
func encodeError(err error) reply {
	var known *Error
	if !errors.As(err, &known) {
		known = &Error{Code: CodeInternal, Step: stepBackend, Message: "an internal fault occurred"}
	}
	return encodeReply(known.Code.Status(), known)
}

// writeReply writes the reply to the HTTP response.
func writeReply(w http.ResponseWriter, r reply) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	h.Set("Cache-Control", "no-store")
	h.Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body) // Fails only when the operator has disconnected.
}

// minRefusalInterval is the minimum time between two events of one code. It
// prevents refused requests from displacing other events in the timeline.
const minRefusalInterval = time.Second

// refusalRecorder records refused requests at a limited rate, since their number is
// not bounded.
type refusalRecorder struct {
	recorder eventlog.Recorder
	now      func() time.Time

	mu      sync.Mutex
	last    map[eventlog.Code]time.Time
	skipped map[eventlog.Code]int
}

// record records an event, or counts it as skipped when the last event with the
// code is too recent.
func (r *refusalRecorder) record(code eventlog.Code, fields eventlog.Fields) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last, r.skipped = map[eventlog.Code]time.Time{}, map[eventlog.Code]int{}
	}
	now := r.now()
	if last, ok := r.last[code]; ok && now.Sub(last) < minRefusalInterval {
		r.skipped[code]++
		return
	}
	if r.skipped[code] > 0 {
		fields["skipped"] = r.skipped[code]
	}
	r.last[code], r.skipped[code] = now, 0
	r.recorder.Record(code, fields)
}
