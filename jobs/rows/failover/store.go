package failover

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"peridotcrank.dev/jobs/rows"
)

// Options configure a [Store].
type Options struct {
	// Direct calls the store from this process. Required.
	Direct rows.Store
	// Relay calls the store through another process; nil for none.
	Relay rows.Store
	// RouteChanged is called when the route with which calls start changes; relayed
	// reports whether that is the relayed one. Required.
	RouteChanged func(relayed bool)
}

// Store is a [rows.Store] that hedges calls and fails over between a direct and a
// relayed route. It is safe for concurrent use.
type Store struct {
	o       Options
	health  health
	commits latency
	reads   latency
}

var _ rows.Store = (*Store)(nil)

// New returns a store, or an error when a required option is missing.
func New(o Options) (*Store, error) {
	if o.Direct == nil || o.RouteChanged == nil {
		return nil, errors.New("failover: the direct store and the route-change callback are required")
	}
	return &Store{o: o, health: health{hedgeTokens: hedgeBurst}}, nil
}

// ExpectedReplyTime returns the time within which the store normally replies to this
// process; 0 before the first reply.
func (s *Store) ExpectedReplyTime() time.Duration {
	return max(s.commits.expected(), s.reads.expected())
}

// Commit implements [rows.Store]. A transaction without expectations is sent only once,
// because repeating it could apply it twice.
func (s *Store) Commit(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	if len(tx.Expect) == 0 {
		return s.o.Direct.Commit(ctx, tx)
	}
	return call(ctx, s, &s.commits, func(ctx context.Context, store rows.Store) (rows.Result, error) { return store.Commit(ctx, tx) })
}

// Read implements [rows.Store].
func (s *Store) Read(ctx context.Context, table, part, from string) (rows.Page, error) {
	return call(ctx, s, &s.reads, func(ctx context.Context, store rows.Store) (rows.Page, error) {
		return store.Read(ctx, table, part, from)
	})
}

// Feed implements [rows.Store]. A feed that waits for changes is not hedged, because a
// long wait is normal.
func (s *Store) Feed(ctx context.Context, table string, after rows.Version, wait time.Duration) (rows.Page, error) {
	estimate := &s.reads
	if wait > 0 {
		estimate = nil
	}
	return call(ctx, s, estimate, func(ctx context.Context, store rows.Store) (rows.Page, error) {
		return store.Feed(ctx, table, after, wait)
	})
}

// route is the path of an attempt to the store.
type route uint8

const (
	direct route = iota
	relayed
)

func (r route) alternative() route { return relayed - r }

func (s *Store) storeFor(r route) rows.Store {
	if r == relayed {
		return s.o.Relay
	}
	return s.o.Direct
}

// routeUsable reports whether an attempt can use a route now.
func (s *Store) routeUsable(r route) bool {
	return r == direct || s.o.Relay != nil && s.health.relayAllowed(time.Now())
}

// maxAttempts limits the attempts of one call.
const maxAttempts = 6

// attempt is the result of one attempt of a call.
type attempt[T any] struct {
	route   route
	value   T
	err     error
	took    time.Duration
	isFirst bool // First attempt of its call.
}

// callState is the state of one call and its attempts.
type callState[T any] struct {
	store    *Store
	estimate *latency // Nil for a call of unknown duration, which is not hedged.
	execute  func(context.Context, rows.Store) (T, error)
	results  chan attempt[T]
	attempts int
	pending  int
	// Progress of the attempts on the direct route, set by their goroutines.
	directStarted, directEnded, directFailed atomic.Bool
	routeFailed                              [2]bool // By route.
	maybeExecuted                            bool    // A failed attempt may have been executed.
	err                                      error
}

// call executes a call with hedging and failover. Attempts still in flight when one is
// answered continue until the deadline of ctx, because an aborted connection costs the
// store more than a completed request.
func call[T any](ctx context.Context, s *Store, estimate *latency, execute func(context.Context, rows.Store) (T, error)) (T, error) {
	c := &callState[T]{store: s, estimate: estimate, execute: execute, results: make(chan attempt[T], maxAttempts)}
	s.health.addHedgeTokens()
	next := direct
	if s.health.prefersRelay(time.Now()) {
		next = relayed
	}
	c.startAttempt(ctx, next)
	var hedgeTimer <-chan time.Time
	if estimate != nil {
		hedgeTimer = time.After(estimate.hedgeDelay())
	}
	for c.pending > 0 {
		select {
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		case a := <-c.results:
			c.pending--
			if c.endsCall(a) {
				if c.pending > 0 && !a.isFirst {
					s.health.returnHedgeTokens(c.attempts - 1) // Earlier replies were lost, or their route is silent.
				}
				return a.value, a.err
			}
			if alternative := a.route.alternative(); !c.routeFailed[alternative] && ctx.Err() == nil && c.attempts < maxAttempts && s.routeUsable(alternative) {
				c.startAttempt(ctx, alternative)
			}
		case <-hedgeTimer:
			hedgeTimer = nil
			if c.attempts < maxAttempts && s.health.takeHedgeToken() {
				next = c.hedgeRoute(next)
				c.startAttempt(ctx, next)
				hedgeTimer = time.After(estimate.hedgeDelay())
			}
		}
	}
	var none T
	if c.maybeExecuted && errors.Is(c.err, rows.ErrNotExecuted) {
		c.err = errOutcomeUnknown
	}
	return none, c.err
}

// errOutcomeUnknown means that one attempt was rejected but another may have been executed.
var errOutcomeUnknown = errors.New("outcome unknown: one attempt of the call got no reply")

// hedgeRoute returns the route of a hedged attempt, which follows an attempt on route last.
func (c *callState[T]) hedgeRoute(last route) route {
	if alternative := last.alternative(); c.store.routeUsable(alternative) {
		return alternative
	}
	return direct
}

func (c *callState[T]) startAttempt(ctx context.Context, r route) {
	isFirst := c.attempts == 0
	c.attempts++
	c.pending++
	if r == direct {
		c.directStarted.Store(true)
	}
	go func() {
		if deadline, ok := ctx.Deadline(); ok {
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
			defer cancel()
		}
		began := time.Now()
		value, err := c.execute(ctx, c.store.storeFor(r))
		a := attempt[T]{r, value, err, time.Since(began), isFirst}
		c.recordAttempt(a)
		c.results <- a
	}()
}

func (a attempt[T]) answered() bool { return a.err == nil || errors.Is(a.err, rows.ErrHistoryGone) }

// recordAttempt updates the health of the routes and the latency estimate with the
// result of an attempt, even after its call has ended.
func (c *callState[T]) recordAttempt(a attempt[T]) {
	s, o := c.store, attemptOutcome{route: a.route, answered: a.answered()}
	if a.route == direct {
		c.directEnded.Store(true)
		c.directFailed.Store(!o.answered)
		if o.answered && c.estimate != nil {
			c.estimate.observe(a.took)
		}
	}
	o.directFailed = c.directFailed.Load()
	o.directSilent = c.directStarted.Load() && !c.directEnded.Load()
	if s.health.recordAttempt(o, time.Now()) {
		s.o.RouteChanged(s.health.prefersRelay(time.Now()))
	}
}

// endsCall records the result of an attempt and reports whether it ends the call.
func (c *callState[T]) endsCall(a attempt[T]) bool {
	if a.answered() {
		return true
	}
	c.routeFailed[a.route] = true
	c.maybeExecuted = c.maybeExecuted || !errors.Is(a.err, rows.ErrNotExecuted)
	c.err = a.err
	return false
}
