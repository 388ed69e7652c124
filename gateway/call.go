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

// Limits on discarding the rest of a refused request's body. A caller that is
// still sending when the connection is closed gets a reset in place of the
// refusal, because net/http discards nothing when it is to close the connection.
const (
	discardTime  = 2 * time.Second
	discardBytes = 256 << 10
)

// call is one request on its way through the gateway.
type call struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	route      *route
	customer   fleet.CustomerID
	key        string // Idempotency-Key.
	idempotent bool
	deadline   time.Time
	impatient  bool // The caller's deadline is shorter than the service's timeout.
	body       body
	bodyRead   bool
	claimed    *claims.Key // The claim to release when the request is not run.
	claimTried bool

	// exchangeContext bounds the exchanges by the deadline. It outlives the
	// caller's connection: the backend server may go on after a cancellation, so
	// its slot is in use until the exchange ends, and a wave of cancellations
	// must not look like failures of the backend servers.
	exchangeContext context.Context

	// State of the attempts.
	attempts    int
	refusals    int      // Attempts that ended before a byte was written.
	mayHaveRun  *refusal // Refusal for the first attempt that may have been run.
	avoid       []routing.Target
	reservation routing.Reservation // Nil between attempts.

	status  int
	outcome Outcome
	reason  string
	err     error
	aborted bool
}

func newCall(g *Gateway, w http.ResponseWriter, r *http.Request) *call {
	return &call{g: g, w: w, r: r, arrived: time.Now(), body: body{budget: &g.buffered}}
}

// run takes the request through all steps. A refusal says that the caller has
// not been answered yet.
func (c *call) run() *refusal {
	if ref := c.prepare(); ref != nil {
		return ref
	}
	if c.g.requests.Load() > int64(c.g.options.MaxInFlight) {
		return shed("too many requests are in progress", 0)
	}
	if ref := c.readBody(); ref != nil {
		return ref
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	if ref := c.claim(ctx); ref != nil {
		return ref
	}
	detached, cancelExchanges := context.WithDeadline(context.WithoutCancel(c.r.Context()), c.deadline)
	defer cancelExchanges()
	c.exchangeContext = detached
	return c.dispatch(ctx)
}

// prepare checks the request, matches its service and sets its deadline.
func (c *call) prepare() *refusal {
	if c.r.Method == http.MethodConnect || hasDotSegment(c.r.URL.Path) {
		return badRequest("the request target is not accepted")
	}
	routes := c.g.routes()
	if routes == nil {
		return shed("no configuration is in force yet", 0)
	}
	if c.route = routes.match(c.r.URL.Path); c.route == nil {
		return notRun(http.StatusNotFound, "no service matches the path")
	}
	var ref *refusal
	if c.customer, ref = customer(c.r.Header); ref != nil {
		return ref
	}
	if c.key, ref = idempotencyKey(c.r.Header); ref != nil {
		return ref
	}
	timeout, ref := callerTimeout(c.r.Header, c.route.Timeout)
	c.deadline = c.arrived.Add(timeout)
	c.impatient = timeout < c.route.Timeout
	c.idempotent = idempotent(c.r.Method)
	return ref
}

// claim records the key of a non-idempotent request.
func (c *call) claim(ctx context.Context) *refusal {
	if c.idempotent || c.key == "" {
		return nil
	}
	c.claimTried = true
	key := claims.Key{Service: string(c.route.Name), Customer: string(c.customer), Value: c.key}
	verdict, err := c.g.options.Claims.Claim(ctx, key)
	switch verdict {
	case claims.VerdictFresh:
		c.claimed = &key
		return nil
	case claims.VerdictSeen:
		return unknown(http.StatusConflict, "the idempotency key was used before", err)
	case claims.VerdictFull:
		return shed("too many idempotency keys are in use", 0)
	}
	ref := unknown(http.StatusServiceUnavailable, "whether the idempotency key was used before cannot be told", err)
	ref.retryAfter = minRetryAfter
	return ref
}

// refuse answers the caller on the gateway's own behalf.
func (c *call) refuse(ref *refusal) {
	if ref.outcome == OutcomeNotRun && !c.claimTried && c.route != nil {
		// An earlier submission of the key may have been run, and "not run" is
		// about the caller's order. Only a fresh claim rules that out.
		if doubt := c.claim(context.WithoutCancel(c.r.Context())); doubt != nil && doubt.outcome == OutcomeUnknown {
			ref = doubt
		}
	}
	if ref.outcome == OutcomeNotRun && c.claimed != nil {
		c.g.options.Claims.Release(context.WithoutCancel(c.r.Context()), *c.claimed)
	}
	if !c.bodyRead && (ref.status == http.StatusRequestTimeout || !c.discardBody()) {
		c.w.Header().Set("Connection", "close")
	}
	c.status, c.outcome, c.reason, c.err = ref.status, ref.outcome, ref.reason, ref.err
	ref.write(c.w)
}

// discardBody reads the rest of the body and reports whether it reached the end.
func (c *call) discardBody() bool {
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(discardTime)) // Unsupported only by test recorders.
	_, err := io.CopyN(io.Discard, c.r.Body, discardBytes)
	return errors.Is(err, io.EOF)
}

// end frees what the call holds, also when it panics.
func (c *call) end() {
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
