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

// Client implements Table over a Transport, with retries, a write budget and a
// circuit breaker.
type Client struct {
	transport Transport
	options   Options
	budget    *WriteBudget
	breaker   *gobreaker.CircuitBreaker[any]

	mu               sync.Mutex
	lastReads        map[string]readState // By key prefix.
	pendingDeletions []pendingDeletion    // In the order in which they were queued.
}

// pendingDeletion is an operation row whose outcome is known, so that a later
// transaction can delete it.
type pendingDeletion struct {
	operation string
	notBefore time.Time
}

// readState describes the last successful read of a prefix.
type readState struct {
	asOf     time.Time
	since    Version
	revision Version
	etag     string // Set only when the last response had no rows.
}

// maxPendingDeletions bounds the queue of operation rows to delete. Rows that
// do not fit stay in the table.
const maxPendingDeletions = 1024

// deletionsPerTransaction is the largest number of operation rows that one
// transaction deletes.
const deletionsPerTransaction = 4

// fenceRetention is the time after which a fence can be deleted. It is much
// longer than any delay of a request within the platform.
const fenceRetention = time.Hour

// NewClient returns a client that sends its requests through transport. It
// returns an error when o is invalid.
func NewClient(transport Transport, o Options) (*Client, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	c := &Client{transport: transport, options: o, budget: NewWriteBudget(o), lastReads: map[string]readState{}}
	c.breaker = gobreaker.NewCircuitBreaker[any](gobreaker.Settings{
		Name:    transport.Peer(),
		Timeout: o.BreakerOpen,
		ReadyToTrip: func(n gobreaker.Counts) bool {
			return n.ConsecutiveFailures >= o.BreakerFailures
		},
		OnStateChange: func(_ string, from, to gobreaker.State) {
			if to == gobreaker.StateClosed {
				c.budget.StartRecovery()
			}
		},
		// A cancelled or malformed request does not indicate that the service has failed.
		IsExcluded: func(err error) bool { return errors.Is(err, context.Canceled) || errors.Is(err, ErrInvalid) },
	})
	return c, nil
}

// New returns a client of the table service at the URL base. member names the
// calling process. It returns an error when base is not of the form
// http://host:port or o is invalid.
func New(base, member string, o Options) (*Client, error) {
	t, err := NewHTTPTransport(base, member)
	if err != nil {
		return nil, err
	}
	return NewClient(t, o)
}

// Reachable reports whether the circuit breaker is closed, so that all requests are sent.
func (c *Client) Reachable() bool { return c.breaker.State() == gobreaker.StateClosed }

// QueuedWrites returns the number of writes that wait for the write budget.
func (c *Client) QueuedWrites() int { return c.budget.QueuedWrites() }

// LastReadAge returns the time between the last successful read of prefix and
// now, and false when there was none.
func (c *Client) LastReadAge(prefix string, now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.lastReads[prefix]
	return now.Sub(r.asOf), ok
}

// Read implements Table. It sends one request without retries, because callers poll.
func (c *Client) Read(ctx context.Context, prefix string, since Version) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.RequestTimeout)
	defer cancel()
	last := c.lastRead(prefix)
	etag := ""
	if last.since == since {
		etag = last.etag
	}
	asOf := c.options.Now()
	rows, err := callThroughBreaker(c, func() (ReadResult, error) { return c.transport.ReadRows(ctx, prefix, since, etag) })
	if err != nil {
		return Snapshot{}, c.readError(prefix, last, err)
	}
	if rows.Unchanged {
		rows.Revision = last.revision
	}
	c.recordRead(prefix, since, asOf, rows)
	return Snapshot{Revision: rows.Revision, Rows: rows.Rows, AsOf: asOf}, nil
}

func (c *Client) lastRead(prefix string) readState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReads[prefix]
}

// recordRead stores the time of a read and, when the response had no rows, its
// entity tag. The server can then answer a repeated read with "unchanged", and
// the client needs no cached body. Reads of single rows are not recorded,
// because the number of their keys is not bounded.
func (c *Client) recordRead(prefix string, since Version, asOf time.Time, rows ReadResult) {
	if i := strings.IndexByte(prefix, '/'); i >= 0 && i < len(prefix)-1 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	state := readState{asOf: asOf, since: since, revision: rows.Revision}
	if len(rows.Rows) == 0 {
		state.etag = rows.ETag
	}
	c.lastReads[prefix] = state
}

func (c *Client) readError(prefix string, last readState, err error) error {
	e := &Error{Step: "read " + prefix, Peer: c.transport.Peer(), Err: fmt.Errorf("%w: %w", ErrUnavailable, err)}
	if !last.asOf.IsZero() {
		e.LastReadAge = c.options.Now().Sub(last.asOf)
	}
	return e
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, tx Transaction) (Result, error) {
	if tx.Operation == "" {
		tx.Operation = uuid.NewString()
	}
	prepared, deletions, err := c.prepareTransaction(tx)
	if err != nil {
		return Result{}, c.commitError("commit", tx.Operation, err)
	}
	result, err := c.sendWithRetry(ctx, prepared)
	if err == nil && result.Applied() {
		c.scheduleDeletion(tx.Operation, 0)
		return result, nil
	}
	c.queueDeletions(deletions)
	switch {
	case err == nil && hasFailedCondition(result, OperationKey(tx.Operation)):
		// The operation row exists, because the operation was committed or fenced before.
		return c.resolve(ctx, tx.Operation)
	case err == nil:
		return result, nil
	case errors.Is(err, ErrWriteBudget), errors.Is(err, ErrInvalid):
		return Result{}, c.commitError("commit", tx.Operation, err)
	case errors.Is(err, ErrNotSent):
		return Result{}, c.commitError("commit", tx.Operation, fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	return c.resolveAfterError(ctx, tx.Operation, err)
}

// prepareTransaction adds the creation of the operation row, on condition that
// it does not exist, and the deletion of operation rows that are due. It also
// returns these deletions, so that they can be queued again on failure.
func (c *Client) prepareTransaction(tx Transaction) (Transaction, []pendingDeletion, error) {
	key := OperationKey(tx.Operation)
	row, err := Put(key, operationRow{Committed: true})
	if err != nil {
		return tx, nil, err
	}
	tx.Conditions = append(slices.Clip(tx.Conditions), Condition{Key: key})
	tx.Writes = append(slices.Clip(tx.Writes), row)
	deletions := c.takeDueDeletions(tx.Operation)
	for _, r := range deletions {
		tx.Writes = append(tx.Writes, Delete(OperationKey(r.operation)))
	}
	return tx, deletions, nil
}

// sendWithRetry sends tx and retries only after errors which prove that nothing
// was sent.
func (c *Client) sendWithRetry(ctx context.Context, tx Transaction) (Result, error) {
	var last error // backoff.Retry can return the context's error instead of the last attempt's.
	r, err := backoff.Retry(ctx, func() (Result, error) {
		var r Result
		r, last = c.sendOnce(ctx, tx)
		if last != nil && !errors.Is(last, ErrNotSent) {
			return r, backoff.Permanent(last)
		}
		return r, last
	}, backoff.WithBackOff(c.newBackOff()), backoff.WithMaxElapsedTime(c.options.ResolutionBudget))
	if err != nil {
		err = last
	}
	return r, err
}

// sendOnce sends tx when the write budget grants it. Each attempt waits for its
// own grant, so that writes delayed by an outage are not all sent at once.
func (c *Client) sendOnce(ctx context.Context, tx Transaction) (Result, error) {
	if c.breaker.State() == gobreaker.StateOpen {
		return Result{}, fmt.Errorf("%w: %w", ErrNotSent, gobreaker.ErrOpenState)
	}
	if err := c.budget.Wait(ctx, tx.Priority); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrWriteBudget, err)
	}
	if err := context.Cause(ctx); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return callThroughBreaker(c, func() (Result, error) {
		ctx, cancel := context.WithTimeout(ctx, c.options.RequestTimeout)
		defer cancel()
		return c.transport.Commit(ctx, tx)
	})
}

// newBackOff returns an exponential backoff, to which the library adds a jitter
// of half the interval.
func (c *Client) newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = c.options.RetryMin, c.options.RetryMax
	return b
}

func (c *Client) commitError(step, operation string, err error) error {
	return &Error{Step: step, Peer: c.transport.Peer(), Operation: operation, Err: err}
}

// scheduleDeletion allows later transactions to delete an operation row once
// the delay has passed.
func (c *Client) scheduleDeletion(operation string, delay time.Duration) {
	c.queueDeletions([]pendingDeletion{{operation, c.options.Now().Add(delay)}})
}

// queueDeletions appends rows to the deletion queue and drops those that do not fit.
func (c *Client) queueDeletions(rows []pendingDeletion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingDeletions = append(c.pendingDeletions, rows[:min(len(rows), maxPendingDeletions-len(c.pendingDeletions))]...)
}

// takeDueDeletions removes up to deletionsPerTransaction rows that are due from
// the deletion queue and returns them. It skips the row of operation except.
func (c *Client) takeDueDeletions(except string) []pendingDeletion {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	var taken []pendingDeletion
	c.pendingDeletions = slices.DeleteFunc(c.pendingDeletions, func(r pendingDeletion) bool {
		take := len(taken) < deletionsPerTransaction && r.operation != except && !r.notBefore.After(now)
		if take {
			taken = append(taken, r)
		}
		return take
	})
	return taken
}

// callThroughBreaker sends one request through the circuit breaker. When the
// breaker rejects the request, the error wraps ErrNotSent.
func callThroughBreaker[T any](c *Client, send func() (T, error)) (T, error) {
	v, err := c.breaker.Execute(func() (any, error) { return send() })
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		err = fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	t, _ := v.(T)
	return t, err
}

// hasFailedCondition reports whether r was rejected by a condition on key.
func hasFailedCondition(r Result, key string) bool {
	return slices.ContainsFunc(r.Failed, func(f Condition) bool { return f.Key == key })
}
