package admin

import (
	"context"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"peridotcrank.dev/eventlog"
)

// Headers of the API.
const (
	// HeaderRequestID identifies a change. A repeated request has the same value.
	HeaderRequestID = "Request-Id"
	// HeaderRepeated marks a kept reply that is sent to a repeated request.
	HeaderRepeated = "Peridotcrank-Repeated"
)

// operationNamespace is the UUID namespace of operations. It must not change,
// because a process of another release must recognise a repeated change.
var operationNamespace = uuid.MustParse("6f1d7a3e-54a2-4c0a-9a60-4f0c6b1b8f6d")

// newWrite returns a write whose Operation is derived from the arguments.
func newWrite(operator, requestID, route string, body []byte) Write {
	identity := strings.Join([]string{operator, requestID, route, string(body)}, "\x00")
	return Write{
		Operator:  operator,
		RequestID: requestID,
		Operation: uuid.NewSHA1(operationNamespace, []byte(identity)).String(),
	}
}

// serveWrite carries out a change once and returns the kept reply to repeated
// requests.
func (s *Server) serveWrite(w http.ResponseWriter, c *call, endpoint route) reply {
	key := replyKey{c.write.Operator, c.write.RequestID}
	cached, err := s.replies.begin(key, c.write.Operation)
	if err != nil {
		return encodeError(err)
	}
	if cached != nil {
		s.recorder.Record(eventlog.AdminReplayed, c.write.eventFields(endpoint))
		w.Header().Set(HeaderRepeated, "true")
		return *cached
	}
	var final *reply
	defer func() { s.replies.finish(key, final) }()
	// A started change continues when the operator disconnects.
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	c.ctx = ctx
	answer := s.execute(c, endpoint)
	if isFinalStatus(answer.status) {
		final = &answer
	}
	return answer
}

// isFinalStatus reports whether a repeated request would get the same reply. After
// a fault or an unknown outcome, a later attempt may get a different one.
func isFinalStatus(status int) bool { return status < http.StatusInternalServerError }

// eventFields returns the fields that identify the write in an event.
func (w Write) eventFields(endpoint route) eventlog.Fields {
	return eventlog.Fields{"operator": w.Operator, "request": w.RequestID, "operation": w.Operation, "route": endpoint.pattern()}
}
