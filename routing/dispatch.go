package routing

import (
	"context"
	"fmt"
	"time"

	"peridotcrank.dev/fleet"
)

// Request describes one attempt to send a caller's request to a backend server.
type Request struct {
	Service  fleet.ServiceName
	Pool     fleet.PoolID
	Customer fleet.CustomerID
	// Urgency orders the requests of a pool. A higher one is served first.
	Urgency int
	// Deadline is the time by which the answer must have arrived.
	Deadline time.Time
	// MaxQueue limits the number of requests of the service that wait in this
	// process.
	MaxQueue int
	// Avoid holds the targets of earlier attempts. Backend servers in other failure
	// domains are preferred.
	Avoid []Target
}

// Target is one slot of a backend server.
type Target struct {
	VM         fleet.VMID
	Generation uint64
	Address    string // IP:port.
	Rack       fleet.RackID
	Zone       fleet.ZoneID
	Slot       int
}

// Result tells how an attempt to send a request ended.
type Result uint8

// Results of an attempt.
const (
	ResultNotWritten  Result = iota // No byte was written: refused, unreachable or not sent.
	ResultBroken                    // A byte was written and no complete answer arrived.
	ResultServerError               // A complete answer with status 5xx.
	ResultAnswered                  // A complete answer with another status.
	// ResultExpired means that a byte was written and the caller's own deadline,
	// which is shorter than the service's timeout, passed before the answer. It
	// counts against the backend server only after several typical service times,
	// so that callers with short deadlines cannot cause an ejection.
	ResultExpired
)

// Reservation holds a slot of a backend server until Done is called.
type Reservation interface {
	Target() Target
	// Valid reports whether it is still allowed to send a request to the target.
	// It must be called immediately before the first byte is written.
	Valid() bool
	// Done releases the slot and records the result. Only the first call has an
	// effect.
	Done(Result)
}

// Dispatcher admits requests and reserves slots.
type Dispatcher interface {
	// Acquire waits until the request is admitted and a slot is free. The error
	// is a *ShedError if the request was shed.
	Acquire(ctx context.Context, r Request) (Reservation, error)
}

// ShedReason tells why a request was shed.
type ShedReason string

// Reasons for shedding a request.
const (
	ShedQueueFull   ShedReason = "queue-full"
	ShedDeadline    ShedReason = "deadline-cannot-be-met"
	ShedViewExpired ShedReason = "fleet-view-expired"
	ShedNoTarget    ShedReason = "no-backend-server"
	ShedStopping    ShedReason = "stopping"
)

// ShedError reports that a request was shed: no byte of it was sent.
type ShedError struct {
	Step   string // Step of the request path, for example "admission".
	Pool   fleet.PoolID
	Reason ShedReason
	// RetryAfter is the time after which the caller should try again.
	RetryAfter time.Duration
}

func (e *ShedError) Error() string {
	return fmt.Sprintf("%s: pool %s: request shed: %s, retry after %s", e.Step, e.Pool, e.Reason, e.RetryAfter)
}
