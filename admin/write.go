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
	// HeaderRequestID identifies a change; a repetition has the same one.
	HeaderRequestID = "Request-Id"
	// HeaderRepeated marks the kept reply to a repetition.
	HeaderRepeated = "Peridotcrank-Repeated"
)

// operationSpace is the UUID namespace of operations. It must not change: a
// change that is repeated at a process of another release must be recognised.
var operationSpace = uuid.MustParse("6f1d7a3e-54a2-4c0a-9a60-4f0c6b1b8f6d")

func newWrite(operator, requestID, route string, body []byte) Write {
	identity := strings.Join([]string{operator, requestID, route, string(body)}, "\x00")
	return Write{
		Operator:  operator,
		RequestID: requestID,
		Operation: uuid.NewSHA1(operationSpace, []byte(identity)).String(),
	}
}

// serveWrite carries out a change once and answers repetitions.
func (s *Server) serveWrite(w http.ResponseWriter, c *call, to route) reply {
	key := replayKey{c.write.Operator, c.write.RequestID}
	kept, err := s.replay.begin(key, c.write.Operation)
	if err != nil {
		return encodeError(err)
	}
	if kept != nil {
		s.recorder.Record(eventlog.AdminReplayed, c.write.fields(to))
		w.Header().Set(HeaderRepeated, "true")
		return *kept
	}
	var final *reply
	defer func() { s.replay.finish(key, final) }()
	// A change that has begun is not abandoned when the operator disconnects.
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	c.ctx = ctx
	answer := s.run(c, to)
	if isFinal(answer.status) {
		final = &answer
	}
	return answer
}

// isFinal reports whether a repetition would get the same reply. A later
// attempt after a fault or an unknown outcome may get another one.
func isFinal(status int) bool { return status < http.StatusInternalServerError }

func (w Write) fields(to route) eventlog.Fields {
	return eventlog.Fields{"operator": w.Operator, "request": w.RequestID, "operation": w.Operation, "route": to.pattern()}
}
