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
	// Own reaches the store from this process. Required.
	Own rows.Store
	// Relay reaches it through another process; nil for none.
	Relay rows.Store
	// Changed is called when calls begin at another process, or no longer do.
	// Required.
	Changed func(refused bool)
}

// Store makes the calls of a process. It is safe for concurrent use.
type Store struct {
	o       Options
	health  health
	commits latency
	reads   latency
}

var _ rows.Store = (*Store)(nil)

// New returns a store.
func New(o Options) (*Store, error) {
	if o.Own == nil || o.Changed == nil {
		return nil, errors.New("failover: a dependency is missing")
	}
	return &Store{o: o, health: health{tries: triesSaved}}, nil
}

// Commit implements [rows.Store]. A transaction that changes rows without any
// expectation is made once.
func (s *Store) Commit(ctx context.Context, tx rows.Tx) (rows.Result, error) {
	if len(tx.Expect) == 0 {
		return s.o.Own.Commit(ctx, tx)
	}
	return call(ctx, s, &s.commits, func(ctx context.Context, store rows.Store) (rows.Result, error) { return store.Commit(ctx, tx) })
}

// Read implements [rows.Store].
func (s *Store) Read(ctx context.Context, table, part, from string) (rows.Page, error) {
	return call(ctx, s, &s.reads, func(ctx context.Context, store rows.Store) (rows.Page, error) {
		return store.Read(ctx, table, part, from)
	})
}

// Feed implements [rows.Store]. A feed that waits for changes gets no second try
// while it waits.
func (s *Store) Feed(ctx context.Context, table string, after rows.Version, wait time.Duration) (rows.Page, error) {
	expected := &s.reads
	if wait > 0 {
		expected = nil
	}
	return call(ctx, s, expected, func(ctx context.Context, store rows.Store) (rows.Page, error) {
		return store.Feed(ctx, table, after, wait)
	})
}

// way is a way to the store.
type way uint8

const (
	own way = iota
	relayed
)

func (w way) other() way { return relayed - w }

func (s *Store) store(w way) rows.Store {
	if w == relayed {
		return s.o.Relay
	}
	return s.o.Own
}

// usable reports whether a try may take a way now.
func (s *Store) usable(w way) bool {
	return w == own || s.o.Relay != nil && s.health.mayRelay(time.Now())
}

// maxTries bounds the tries of one call.
const maxTries = 6

// attempt is the outcome of a try.
type attempt[T any] struct {
	way   way
	value T
	err   error
	took  time.Duration
	first bool // Of the call.
}

// calling is one call with its tries.
type calling[T any] struct {
	store    *Store
	expected *latency // Nil for a call that may take any time.
	try      func(context.Context, rows.Store) (T, error)
	outcomes chan attempt[T]
	tries    int
	pending  int
	// What the tries of the own way show, noted by the tries themselves.
	ownBegan, ownEnded, ownFailed atomic.Bool
	failed                        [2]bool // By way.
	unknown                       bool    // A try that failed may have been carried out.
	err                           error
}

// call makes a call. The tries that have not ended when one of them is answered
// go on until the time of ctx, since an ended connection costs the store more.
func call[T any](ctx context.Context, s *Store, expected *latency, try func(context.Context, rows.Store) (T, error)) (T, error) {
	c := &calling[T]{store: s, expected: expected, try: try, outcomes: make(chan attempt[T], maxTries)}
	s.health.called()
	next := own
	if s.health.isRefused(time.Now()) {
		next = relayed
	}
	c.start(ctx, next)
	var second <-chan time.Time
	if expected != nil {
		second = time.After(expected.delay())
	}
	for c.pending > 0 {
		select {
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		case a := <-c.outcomes:
			c.pending--
			if c.ends(a) {
				if c.pending > 0 && !a.first {
					s.health.returnTries(c.tries - 1) // The answers before it are lost, or their way is silent.
				}
				return a.value, a.err
			}
			if other := a.way.other(); !c.failed[other] && ctx.Err() == nil && c.tries < maxTries && s.usable(other) {
				c.start(ctx, other)
			}
		case <-second:
			second = nil
			if c.tries < maxTries && s.health.takeTry() {
				next = c.following(next)
				c.start(ctx, next)
				second = time.After(expected.delay())
			}
		}
	}
	var none T
	if c.unknown && errors.Is(c.err, rows.ErrNotDone) {
		c.err = errUnknown
	}
	return none, c.err
}

// errUnknown says that one try was rejected and another one may have been carried out.
var errUnknown = errors.New("a try of the call got no answer")

// following returns the way of the try after one that has no answer yet.
func (c *calling[T]) following(last way) way {
	if other := last.other(); c.store.usable(other) {
		return other
	}
	return own
}

func (c *calling[T]) start(ctx context.Context, w way) {
	first := c.tries == 0
	c.tries++
	c.pending++
	if w == own {
		c.ownBegan.Store(true)
	}
	go func() {
		if deadline, ok := ctx.Deadline(); ok {
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
			defer cancel()
		}
		began := time.Now()
		value, err := c.try(ctx, c.store.store(w))
		a := attempt[T]{w, value, err, time.Since(began), first}
		c.note(a)
		c.outcomes <- a
	}()
}

func (a attempt[T]) answered() bool { return a.err == nil || errors.Is(a.err, rows.ErrHistoryGone) }

// note takes what a try shows of its way, also after the call has ended.
func (c *calling[T]) note(a attempt[T]) {
	s, o := c.store, outcome{way: a.way, answered: a.answered()}
	if a.way == own {
		c.ownEnded.Store(true)
		c.ownFailed.Store(!o.answered)
		if o.answered && c.expected != nil {
			c.expected.observe(a.took)
		}
	}
	o.ownFailed = c.ownFailed.Load()
	o.ownSilent = c.ownBegan.Load() && !c.ownEnded.Load()
	if s.health.note(o, time.Now()) {
		s.o.Changed(s.health.isRefused(time.Now()))
	}
}

// ends takes the outcome of a try and reports whether it ends the call.
func (c *calling[T]) ends(a attempt[T]) bool {
	if a.answered() {
		return true
	}
	c.failed[a.way] = true
	c.unknown = c.unknown || !errors.Is(a.err, rows.ErrNotDone)
	c.err = a.err
	return false
}
