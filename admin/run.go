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

// run carries out a verb, records what matters and encodes the reply.
func (s *Server) run(c *call, to route) reply {
	value, err := s.handle(c, to)
	if err != nil {
		err = classify(err, to.Write())
	}
	s.record(c, to, err)
	if err != nil {
		return encodeError(err)
	}
	return encode(http.StatusOK, value)
}

// handle turns a panic of a handler or the backend into an error, since it
// concerns one request and not the callers that the process serves.
func (s *Server) handle(c *call, to route) (value any, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.recorder.Record(eventlog.AdminPanic, eventlog.Fields{"route": to.pattern(), "operator": c.operator.Name, "panic": fmt.Sprint(p)})
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	return to.handle(s, c)
}

// classify returns an *Error. Text of other errors stays in the log, since it
// may name internals. A change that ends with such an error may have taken effect.
func classify(err error, write bool) error {
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

func (s *Server) record(c *call, to route, err error) {
	var known *Error
	errors.As(err, &known)
	if !to.Write() {
		if known != nil && known.Code == CodeInternal {
			s.recorder.Record(eventlog.AdminReadFailed, eventlog.Fields{"operator": c.operator.Name, "route": to.pattern(), "error": known.Cause})
		}
		return
	}
	fields, code := c.write.fields(to), eventlog.AdminWrite
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

func encode(status int, value any) reply {
	body, err := json.Marshal(value)
	if err != nil {
		return encodeError(&Error{Code: CodeInternal, Step: "encode", Message: "the reply cannot be encoded", Cause: err})
	}
	return reply{status: status, body: append(body, '\n')}
}

func encodeError(err error) reply {
	var known *Error
	if !errors.As(err, &known) {
		known = &Error{Code: CodeInternal, Step: stepBackend, Message: "an internal fault occurred"}
	}
	return encode(known.Code.Status(), known)
}

func send(w http.ResponseWriter, r reply) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	h.Set("Cache-Control", "no-store")
	h.Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body) // A failure means that the operator has disconnected.
}

// refusalInterval is the shortest time between two events of one code. It
// keeps refused requests from flushing the timeline.
const refusalInterval = time.Second

// refusals records refused requests, of which there may be any number.
type refusals struct {
	recorder eventlog.Recorder
	now      func() time.Time

	mu      sync.Mutex
	last    map[eventlog.Code]time.Time
	skipped map[eventlog.Code]int
}

func (r *refusals) record(code eventlog.Code, fields eventlog.Fields) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last, r.skipped = map[eventlog.Code]time.Time{}, map[eventlog.Code]int{}
	}
	now := r.now()
	if last, ok := r.last[code]; ok && now.Sub(last) < refusalInterval {
		r.skipped[code]++
		return
	}
	if r.skipped[code] > 0 {
		fields["skipped"] = r.skipped[code]
	}
	r.last[code], r.skipped[code] = now, 0
	r.recorder.Record(code, fields)
}
