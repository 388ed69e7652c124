package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/sony/gobreaker/v2"
)

// Client implements Table over a Transport.
type Client struct {
	transport Transport
	options   Options
	budget    *Budget
	breaker   *gobreaker.CircuitBreaker[any]

	mu    sync.Mutex
	reads map[string]readState // By prefix.
	spent []spentRow           // Operation rows to delete, in order of their commits.
}

// spentRow is an operation row that may be deleted from a time on.
type spentRow struct {
	operation string
	after     time.Time
}

// readState remembers the last read of a prefix.
type readState struct {
	asOf     time.Time
	since    Version
	revision Version
	etag     string // Set when the last answer held no rows.
}

// maxSpent bounds the operation rows that wait for their deletion. Beyond it
// the oldest stay in the table.
const maxSpent = 1024

// spentPerTransaction is the number of operation rows that one transaction deletes.
const spentPerTransaction = 4

// fenceRetention is the time for which a fence stays. It is far beyond any
// delay of a request within the platform.
const fenceRetention = time.Hour

// NewClient returns a client over transport.
func NewClient(transport Transport, o Options) (*Client, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	c := &Client{transport: transport, options: o, budget: NewBudget(o), reads: map[string]readState{}}
	c.breaker = gobreaker.NewCircuitBreaker[any](gobreaker.Settings{
		Name:    transport.Peer(),
		Timeout: o.BreakerOpen,
		ReadyToTrip: func(n gobreaker.Counts) bool {
			return n.ConsecutiveFailures >= o.BreakerFailures
		},
		OnStateChange: func(_ string, from, to gobreaker.State) {
			if to == gobreaker.StateClosed {
				c.budget.Recovered()
			}
		},
		// A cancelled caller and a malformed request say nothing about the service.
		IsExcluded: func(err error) bool { return errors.Is(err, context.Canceled) || errors.Is(err, ErrInvalid) },
	})
	return c, nil
}

// New returns a client of the table service at base. member names the calling process.
func New(base, member string, o Options) (*Client, error) {
	t, err := NewHTTPTransport(base, member)
	if err != nil {
		return nil, err
	}
	return NewClient(t, o)
}

// Reachable reports whether the circuit breaker lets requests pass.
func (c *Client) Reachable() bool { return c.breaker.State() == gobreaker.StateClosed }

// Waiting returns the number of writes that wait for the write budget.
func (c *Client) Waiting() int { return c.budget.Waiting() }

// Age returns the age of the last successful read of prefix, and false when there was none.
func (c *Client) Age(prefix string, now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.reads[prefix]
	return now.Sub(r.asOf), ok
}

// Read implements Table. It asks once; callers poll.
func (c *Client) Read(ctx context.Context, prefix string, since Version) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.RequestTimeout)
	defer cancel()
	last := c.lastRead(prefix)
	etag := ""
	if last.since == since {
		etag = last.etag
	}
	asOf := c.options.Now()
	rows, err := through(c, func() (Rows, error) { return c.transport.Rows(ctx, prefix, since, etag) })
	if err != nil {
		return Snapshot{}, c.readError(prefix, last, err)
	}
	if rows.Unchanged {
		rows.Revision = last.revision
	}
	c.remember(prefix, since, asOf, rows)
	return Snapshot{Revision: rows.Revision, Rows: rows.Rows, AsOf: asOf}, nil
}

func (c *Client) lastRead(prefix string) readState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads[prefix]
}

// remember keeps the time of a read and the tag of an answer without rows, so
// that repeating the read can be answered "unchanged" without a cached body.
// Reads of single rows are not remembered, because their number is not bounded.
func (c *Client) remember(prefix string, since Version, asOf time.Time, rows Rows) {
	if i := strings.IndexByte(prefix, '/'); i >= 0 && i < len(prefix)-1 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	state := readState{asOf: asOf, since: since, revision: rows.Revision}
	if len(rows.Rows) == 0 {
		state.etag = rows.ETag
	}
	c.reads[prefix] = state
}

func (c *Client) readError(prefix string, last readState, err error) error {
	e := &Error{Step: "read " + prefix, Peer: c.transport.Peer(), Err: fmt.Errorf("%w: %w", ErrUnavailable, err)}
	if !last.asOf.IsZero() {
		e.Age = c.options.Now().Sub(last.asOf)
	}
	return e
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, tx Transaction) (Result, error) {
	if tx.Operation == "" {
		tx.Operation = uuid.NewString()
	}
	sealed, spent, err := c.seal(tx)
	if err != nil {
		return Result{}, c.commitError("commit", tx.Operation, err)
	}
	result, err := c.sendUntilSent(ctx, sealed)
	if err == nil && result.Applied() {
		c.spend(tx.Operation, 0)
		return result, nil
	}
	c.unspend(spent)
	switch {
	case err == nil && failedOn(result, OperationKey(tx.Operation)):
		// The operation row exists: the same operation was committed or fenced before.
		return c.resolve(ctx, tx.Operation)
	case err == nil:
		return result, nil
	case errors.Is(err, ErrBudget), errors.Is(err, ErrInvalid):
		return Result{}, c.commitError("commit", tx.Operation, err)
	case errors.Is(err, ErrNotSent):
		return Result{}, c.commitError("commit", tx.Operation, fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	return c.resolveAfter(ctx, tx.Operation, err)
}

// seal adds the operation row, on condition that it does not exist, and the
// deletion of operation rows whose outcome is known.
func (c *Client) seal(tx Transaction) (Transaction, []spentRow, error) {
	key := OperationKey(tx.Operation)
	row, err := Put(key, operationRow{Committed: true})
	if err != nil {
		return tx, nil, err
	}
	tx.Conditions = append(slices.Clip(tx.Conditions), Condition{Key: key})
	tx.Writes = append(slices.Clip(tx.Writes), row)
	spent := c.takeSpent(tx.Operation)
	for _, r := range spent {
		tx.Writes = append(tx.Writes, Delete(OperationKey(r.operation)))
	}
	return tx, spent, nil
}

// sendUntilSent sends tx and repeats it only while it is proven that nothing
// was sent.
func (c *Client) sendUntilSent(ctx context.Context, tx Transaction) (Result, error) {
	var last error // Retry returns the context's error in place of that of the last attempt.
	r, err := backoff.Retry(ctx, func() (Result, error) {
		var r Result
		r, last = c.sendOnce(ctx, tx)
		if last != nil && !errors.Is(last, ErrNotSent) {
			return r, backoff.Permanent(last)
		}
		return r, last
	}, backoff.WithBackOff(c.backoff()), backoff.WithMaxElapsedTime(c.options.ResolutionBudget))
	if err != nil {
		err = last
	}
	return r, err
}

// sendOnce sends tx within the write budget. Each attempt takes its own place in
// the budget, so that writes that an outage has held back do not arrive together.
func (c *Client) sendOnce(ctx context.Context, tx Transaction) (Result, error) {
	if c.breaker.State() == gobreaker.StateOpen {
		return Result{}, fmt.Errorf("%w: %w", ErrNotSent, gobreaker.ErrOpenState)
	}
	if err := c.budget.Wait(ctx, tx.Priority); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrBudget, err)
	}
	if err := context.Cause(ctx); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return through(c, func() (Result, error) {
		ctx, cancel := context.WithTimeout(ctx, c.options.RequestTimeout)
		defer cancel()
		return c.transport.Commit(ctx, tx)
	})
}

// backoff returns an exponential backoff; the library adds a jitter of half the interval.
func (c *Client) backoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = c.options.RetryMin, c.options.RetryMax
	return b
}

func (c *Client) commitError(step, operation string, err error) error {
	return &Error{Step: step, Peer: c.transport.Peer(), Operation: operation, Err: err}
}

// spend lets later transactions delete an operation row after a delay.
func (c *Client) spend(operation string, delay time.Duration) {
	c.unspend([]spentRow{{operation, c.options.Now().Add(delay)}})
}

func (c *Client) unspend(rows []spentRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spent = append(c.spent, rows[:min(len(rows), maxSpent-len(c.spent))]...)
}

// takeSpent removes some operation rows that may be deleted now from the list.
func (c *Client) takeSpent(except string) []spentRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	var taken []spentRow
	c.spent = slices.DeleteFunc(c.spent, func(r spentRow) bool {
		take := len(taken) < spentPerTransaction && r.operation != except && !r.after.After(now)
		if take {
			taken = append(taken, r)
		}
		return take
	})
	return taken
}

// through passes one request through the circuit breaker. A request that the
// breaker refuses was not sent.
func through[T any](c *Client, send func() (T, error)) (T, error) {
	v, err := c.breaker.Execute(func() (any, error) { return send() })
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		err = fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	t, _ := v.(T)
	return t, err
}

func failedOn(r Result, key string) bool {
	return slices.ContainsFunc(r.Failed, func(f Condition) bool { return f.Key == key })
}
