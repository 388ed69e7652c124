package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cenkalti/backoff/v5"
)

// operationRow is the value of an operation row. The transaction was either
// committed, or fenced, after which it can no longer be committed.
type operationRow struct {
	Committed bool `json:"committed"`
}

// errNoOperationRow means that the operation row does not exist.
var errNoOperationRow = errors.New("operation row absent")

// Resolve finds the outcome of a transaction whose Commit returned
// ErrOutcomeUnknown. It never writes the transaction again.
func (c *Client) Resolve(ctx context.Context, operation string) (Result, error) {
	return c.resolve(ctx, operation)
}

// resolveAfterError resolves the outcome of a transaction that failed with
// cause, which leaves its outcome unknown.
func (c *Client) resolveAfterError(ctx context.Context, operation string, cause error) (Result, error) {
	r, err := c.resolve(ctx, operation)
	if err != nil {
		err = fmt.Errorf("%w (first error: %w)", err, cause)
	}
	return r, err
}

// resolve retries resolveOnce until the outcome is known or the resolution
// budget is exceeded.
func (c *Client) resolve(ctx context.Context, operation string) (Result, error) {
	var last error
	r, err := backoff.Retry(ctx, func() (Result, error) {
		var r Result
		r, last = c.resolveOnce(ctx, operation)
		return r, last
	}, backoff.WithBackOff(c.newBackOff()), backoff.WithMaxElapsedTime(c.options.ResolutionBudget))
	if err != nil {
		return Result{}, c.commitError("resolve the outcome", operation, fmt.Errorf("%w: %w", ErrOutcomeUnknown, last))
	}
	if r.Applied() {
		c.scheduleDeletion(operation, 0)
	} else {
		c.scheduleDeletion(operation, fenceRetention)
	}
	return r, nil
}

// resolveOnce reads the outcome from the operation row. When the row does not
// exist, it writes a fence and reads the row again.
func (c *Client) resolveOnce(ctx context.Context, operation string) (Result, error) {
	r, err := c.readOperation(ctx, operation)
	if !errors.Is(err, errNoOperationRow) {
		return r, err
	}
	if err := c.writeFence(ctx, operation); err != nil {
		return Result{}, err
	}
	return c.readOperation(ctx, operation)
}

// readOperation returns the outcome that the operation row shows, or
// errNoOperationRow.
func (c *Client) readOperation(ctx context.Context, operation string) (Result, error) {
	key := OperationKey(operation)
	snap, err := c.Read(ctx, key, 0)
	if err != nil {
		return Result{}, err
	}
	for _, row := range snap.Rows {
		if row.Key != key || row.Deleted {
			continue
		}
		var op operationRow
		if err := json.Unmarshal(row.Value, &op); err != nil {
			return Result{}, fmt.Errorf("operation row: %w", err)
		}
		if op.Committed {
			return Result{Outcome: OutcomeApplied, Revision: row.Version, Operation: operation}, nil
		}
		return Result{Outcome: OutcomeRejected, Failed: []Condition{{Key: key, Version: row.Version}}, Operation: operation}, nil
	}
	return Result{}, errNoOperationRow
}

// writeFence creates the operation row on condition that it does not exist, so
// that the transaction cannot take effect later. Whether this write is applied
// does not matter, because the row is read afterwards.
func (c *Client) writeFence(ctx context.Context, operation string) error {
	row, err := Put(OperationKey(operation), operationRow{})
	if err != nil {
		return err
	}
	if err := c.budget.Wait(ctx, PrioritySafety); err != nil {
		return err
	}
	tx := Transaction{Operation: "fence-" + operation, Conditions: []Condition{{Key: row.Key}}, Writes: []Write{row}}
	_, err = callThroughBreaker(c, func() (Result, error) {
		ctx, cancel := context.WithTimeout(ctx, c.options.RequestTimeout)
		defer cancel()
		return c.transport.Commit(ctx, tx)
	})
	return err
}
