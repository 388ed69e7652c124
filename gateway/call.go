package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"peridotcrank.dev/claims"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/routing"
)

// Limits on discarding the rest of a refused request's body. The gateway discards
// it because net/http does not do so before it closes a connection: a caller that
// is still sending would receive a connection reset instead of the refusal.
const (
	discardTimeout  = 2 * time.Second
	maxDiscardBytes = 256 << 10
)

// call holds the state of one caller's request.
type call struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	route              *route
	customer           fleet.CustomerID
	key                string // Idempotency-Key.
	idempotent         bool
	deadline           time.Time
	deadlineFromCaller bool // The caller's timeout is shorter than the service's.
	body               bufferedBody
	bodyConsumed       bool
	claimedKey         *claims.Key // The key to release when the request is not run.
	claimAttempted     bool

	// exchangeContext ends at the deadline, but not when the caller disconnects.
	// The backend server may continue to run a cancelled request, so its slot
	// stays in use until the exchange ends. Many cancellations at once must not
	// count as failures of the backend servers.
	exchangeContext context.Context

	// State of the attempts.
	attempts          int
	unwrittenAttempts int      // Attempts that failed before a byte was written.
	unknownOutcome    *refusal // Refusal for the first failed attempt that may have been run.
	avoid             []routing.Target
	reservation       routing.Reservation // Nil between attempts.

	status  int
	outcome Outcome
	reason  string
	err     error
	aborted bool
}

func newCall(g *Gateway, w http.ResponseWriter, r *http.Request) *call {
	return &call{g: g, w: w, r: r, arrived: time.Now(), body: bufferedBody{budget: &g.bufferedBytes}}
}

// process performs all steps of the request. When it returns a refusal, no
// response has been written and the caller has to receive the refusal.
func (c *call) process() *refusal {
	if ref := c.prepare(); ref != nil {
		return ref
	}
	if c.g.activeRequests.Load() > int64(c.g.options.MaxInFlight) {
		return shedRefusal("too many requests are in progress", 0)
	}
	if ref := c.bufferBody(); ref != nil {
		return ref
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	if ref := c.claimIdempotencyKey(ctx); ref != nil {
		return ref
	}
	exchangeCtx, cancelExchanges := context.WithDeadline(context.WithoutCancel(c.r.Context()), c.deadline)
	defer cancelExchanges()
	c.exchangeContext = exchangeCtx
	return c.dispatch(ctx)
}

// prepare validates the request, finds its service and sets the deadline.
func (c *call) prepare() *refusal {
	if c.r.Method == http.MethodConnect || hasDotSegment(c.r.URL.Path) {
		return badRequestRefusal("the request target is not accepted")
	}
	routes := c.g.currentRoutes()
	if routes == nil {
		return shedRefusal("no configuration is in force yet", 0)
	}
	if c.route = routes.match(c.r.URL.Path); c.route == nil {
		return notRunRefusal(http.StatusNotFound, "no service matches the path")
	}
	var ref *refusal
	if c.customer, ref = parseCustomer(c.r.Header); ref != nil {
		return ref
	}
	if c.key, ref = parseIdempotencyKey(c.r.Header); ref != nil {
		return ref
	}
	timeout, ref := parseCallerTimeout(c.r.Header, c.route.Timeout)
	c.deadline = c.arrived.Add(timeout)
	c.deadlineFromCaller = timeout < c.route.Timeout
	c.idempotent = isIdempotentMethod(c.r.Method)
	return ref
}

// claimIdempotencyKey claims the idempotency key of a non-idempotent request.
// It returns a refusal when the key is not new or cannot be checked.
func (c *call) claimIdempotencyKey(ctx context.Context) *refusal {
	if c.idempotent || c.key == "" {
		return nil
	}
	c.claimAttempted = true
	key := claims.Key{Service: string(c.route.Name), Customer: string(c.customer), Value: c.key}
	verdict, err := c.g.options.Claims.Claim(ctx, key)
	switch verdict {
	case claims.VerdictFresh:
		c.claimedKey = &key
		return nil
	case claims.VerdictSeen:
		return unknownRefusal(http.StatusConflict, "the idempotency key was used before", err)
	case claims.VerdictFull:
		return shedRefusal("too many idempotency keys are in use", 0)
	}
	ref := unknownRefusal(http.StatusServiceUnavailable, "whether the idempotency key was used before cannot be told", err)
	ref.retryAfter = minRetryAfter
	return ref
}

// writeRefusal releases the claim if the request was not run, and writes the
// refusal as the response.
func (c *call) writeRefusal(ref *refusal) {
	if ref.outcome == OutcomeNotRun && !c.claimAttempted && c.route != nil {
		// The outcome not-run must hold for every request with this key. An
		// earlier one may have been run; only a fresh claim rules that out.
		if claimRefusal := c.claimIdempotencyKey(context.WithoutCancel(c.r.Context())); claimRefusal != nil && claimRefusal.outcome == OutcomeUnknown {
			ref = claimRefusal
		}
	}
	if ref.outcome == OutcomeNotRun && c.claimedKey != nil {
		c.g.options.Claims.Release(context.WithoutCancel(c.r.Context()), *c.claimedKey)
	}
	if !c.bodyConsumed && (ref.status == http.StatusRequestTimeout || !c.discardBody()) {
		c.w.Header().Set("Connection", "close")
	}
	c.status, c.outcome, c.reason, c.err = ref.status, ref.outcome, ref.reason, ref.err
	ref.write(c.w)
}

// discardBody reads the rest of the body within the discard limits and reports
// whether it reached the end.
func (c *call) discardBody() bool {
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(discardTimeout)) // Unsupported only by test recorders.
	_, err := io.CopyN(io.Discard, c.r.Body, maxDiscardBytes)
	return errors.Is(err, io.EOF)
}

// finish releases the slot and the body, and reports the observation. It is
// deferred, so it also runs after a panic.
func (c *call) finish() {
	c.endAttempt(routing.ResultBroken)
	c.body.release()
	o := Observation{
		Customer: c.customer, Status: c.status, Outcome: c.outcome, Reason: c.reason, Err: c.err,
		Attempts: c.attempts, Duration: time.Since(c.arrived), Aborted: c.aborted,
	}
	if c.route != nil {
		o.Service, o.Pool = c.route.Name, c.route.Pool
	}
	c.g.options.Observe(o)
}
