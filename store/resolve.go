package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cenkalti/backoff/v5"
)

// operationRow is the value of an operation row: either the transaction was
// committed, or it was fenced and can no longer be.
type operationRow struct {
	Committed bool `json:"committed"`
}

// errAbsent means that the operation row does not exist yet.
var errAbsent = errors.New("operation row absent")

// Resolve finds the outcome of a transaction whose Commit returned
// ErrOutcomeUnknown. It never writes the transaction again.
func (c *Client) Resolve(ctx context.Context, operation string) (Result, error) {
	return c.resolve(ctx, operation)
}

// resolveAfter resolves the outcome of a transaction whose reply was lost with cause.
func (c *Client) resolveAfter(ctx context.Context, operation string, cause error) (Result, error) {
	r, err := c.resolve(ctx, operation)
	if err != nil {
		err = fmt.Errorf("%w (first error: %w)", err, cause)
	}
	return r, err
}

// resolve reads the operation row until its outcome is known or the resolution
// budget is used up.
func (c *Client) resolve(ctx context.Context, operation string) (Result, error) {
	var last error
	r, err := backoff.Retry(ctx, func() (Result, error) {
		var r Result
		r, last = c.resolveOnce(ctx, operation)
		return r, last
	}, backoff.WithBackOff(c.backoff()), backoff.WithMaxElapsedTime(c.options.ResolutionBudget))
	if err != nil {
		return Result{}, c.commitError("resolve the outcome", operation, fmt.Errorf("%w: %w", ErrOutcomeUnknown, last))
	}
	if r.Applied() {
		c.spend(operation, 0)
	} else {
		c.spend(operation, fenceRetention)
	}
	return r, nil
}

func (c *Client) resolveOnce(ctx context.Context, operation string) (Result, error) {
	r, err := c.readOperation(ctx, operation)
	if !errors.Is(err, errAbsent) {
		return r, err
	}
	if err := c.fence(ctx, operation); err != nil {
		return Result{}, err
	}
	return c.readOperation(ctx, operation)
}

// readOperation reads the outcome from the operation row.
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
	return Result{}, errAbsent
}

// fence writes the operation row on condition that it does not exist, so that
// the transaction cannot take effect later. Its own outcome does not matter:
// the row is read afterwards.
func (c *Client) fence(ctx context.Context, operation string) error {
	row, err := Put(OperationKey(operation), operationRow{})
	if err != nil {
		return err
	}
	if err := c.budget.Wait(ctx, PrioritySafety); err != nil {
		return err
	}
	tx := Transaction{Operation: "fence-" + operation, Conditions: []Condition{{Key: row.Key}}, Writes: []Write{row}}
	_, err = through(c, func() (Result, error) {
		ctx, cancel := context.WithTimeout(ctx, c.options.RequestTimeout)
		defer cancel()
		return c.transport.Commit(ctx, tx)
	})
	return err
}
