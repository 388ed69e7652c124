package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
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
	spent []string             // Operations whose rows are no longer needed.
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
				c.budget.Recovered(time.Now())
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
	asOf := time.Now()
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

// remember keeps the tag of an answer without rows, so that repeating the read
// can be answered "unchanged" without a cached body.
func (c *Client) remember(prefix string, since Version, asOf time.Time, rows Rows) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if prefix != "" && isOperationKey(prefix) {
		return
	}
	state := readState{asOf: asOf, since: since, revision: rows.Revision}
	if len(rows.Rows) == 0 {
		state.etag = rows.ETag
	}
	c.reads[prefix] = state
}

func (c *Client) readError(prefix string, last readState, err error) error {
	e := &Error{Step: "read " + prefix, Peer: c.transport.Peer(), Err: fmt.Errorf("%w: %w", ErrUnavailable, err)}
	if !last.asOf.IsZero() {
		e.Age = time.Since(last.asOf)
	}
	return e
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, tx Transaction) (Result, error) {
	if tx.Operation == "" {
		tx.Operation = uuid.NewString()
	}
	if err := c.budget.Wait(ctx, tx.Priority); err != nil {
		return Result{}, c.commitError("wait for the write budget", tx.Operation, fmt.Errorf("%w: %w", ErrBudget, err))
	}
	sealed, spent, err := c.seal(tx)
	if err != nil {
		return Result{}, c.commitError("commit", tx.Operation, err)
	}
	result, err := c.sendUntilSent(ctx, sealed)
	switch {
	case err == nil && result.Outcome == OutcomeRejected && failedOn(result, OperationKey(tx.Operation)):
		// The operation row exists: the same operation was committed or fenced before.
		result, err = c.resolve(ctx, tx.Operation)
	case errors.Is(err, ErrNotSent):
		c.unspend(spent)
		return Result{}, c.commitError("commit", tx.Operation, fmt.Errorf("%w: %w", ErrUnavailable, err))
	case errors.Is(err, ErrInvalid):
		return Result{}, c.commitError("commit", tx.Operation, err)
	case err != nil:
		return c.resolveAfter(ctx, tx.Operation, err)
	}
	if err == nil && result.Applied() {
		c.spend(tx.Operation)
	} else {
		c.unspend(spent)
	}
	return result, err
}

// seal adds the operation row, on condition that it does not exist, and the
// deletion of operation rows whose outcome is known.
func (c *Client) seal(tx Transaction) (Transaction, []string, error) {
	key := OperationKey(tx.Operation)
	row, err := Put(key, operationRow{Committed: true})
	if err != nil {
		return tx, nil, err
	}
	tx.Conditions = append(slices.Clip(tx.Conditions), Condition{Key: key})
	tx.Writes = append(slices.Clip(tx.Writes), row)
	spent := c.takeSpent(tx.Operation)
	for _, operation := range spent {
		tx.Writes = append(tx.Writes, Delete(OperationKey(operation)))
	}
	return tx, spent, nil
}

// sendUntilSent sends tx and repeats it only while it is proven that nothing was sent.
func (c *Client) sendUntilSent(ctx context.Context, tx Transaction) (Result, error) {
	return backoff.Retry(ctx, func() (Result, error) {
		r, err := through(c, func() (Result, error) {
			ctx, cancel := context.WithTimeout(ctx, c.options.RequestTimeout)
			defer cancel()
			return c.transport.Commit(ctx, tx)
		})
		if err != nil && !errors.Is(err, ErrNotSent) {
			err = backoff.Permanent(err)
		}
		return r, err
	}, backoff.WithBackOff(c.backoff()), backoff.WithMaxElapsedTime(c.options.ResolutionBudget))
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

func (c *Client) spend(operation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.spent) < maxSpent {
		c.spent = append(c.spent, operation)
	}
}

func (c *Client) takeSpent(except string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.spent), spentPerTransaction)
	taken := slices.Clone(c.spent[:n])
	c.spent = slices.Delete(c.spent, 0, n)
	return slices.DeleteFunc(taken, func(o string) bool { return o == except })
}

func (c *Client) unspend(operations []string) {
	for _, operation := range operations {
		c.spend(operation)
	}
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
