package storetest

import (
	"context"
	"errors"
	"math"
	"strconv"
	"time"

	"peridotcrank.dev/store"
)

// Errors of faults.
var (
	ErrDown      = errors.New("table is down")
	ErrReplyLost = errors.New("reply lost")
)

// requestTimeout outlasts any pause of a test process.
const requestTimeout = time.Hour

// Transport returns a transport of a named client, with the scripted faults.
func (t *Table) Transport(client string) store.Transport { return &transport{t, client} }

// Client returns a store client of a named process, without a limit on the
// write rate and with short retries. It resolves unknown outcomes as the real
// one does, because it is the real one over an in-memory transport. Its timeout
// does not depend on how much processor the test gets.
func (t *Table) Client(client string) *store.Client {
	c, err := store.NewClient(t.Transport(client), store.Options{
		WritesPerSecond: 1e6, WriteBurst: 1e6, RetryMin: time.Millisecond, RetryMax: 5 * time.Millisecond,
		ResolutionBudget: 50 * time.Millisecond, RecoveryRamp: time.Nanosecond, RequestTimeout: requestTimeout,
		// The breaker stays closed, so that the end of a scripted fault shows at once.
		BreakerFailures: math.MaxUint32,
	})
	if err != nil {
		panic(err) // The options above are constants.
	}
	return c
}

type transport struct {
	table  *Table
	client string
}

func (c *transport) Peer() string { return "storetest" }

func (c *transport) Rows(ctx context.Context, prefix string, since store.Version, etag string) (store.Rows, error) {
	e := c.table.Strike(c.client, Reads)
	if err := before(ctx, e); err != nil {
		return store.Rows{}, err
	}
	snap, changed := c.table.Rows(prefix, since)
	if e.ReplyLost {
		return store.Rows{}, ErrReplyLost
	}
	tag := ETag(changed)
	return store.Rows{Revision: snap.Revision, Rows: snap.Rows, ETag: tag, Unchanged: tag == etag}, nil
}

func (c *transport) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	e := c.table.Strike(c.client, Commits)
	if err := before(ctx, e); err != nil {
		if e.Delay > 0 && !e.Down {
			// The caller has given up, and the request still takes effect.
			time.AfterFunc(e.Delay, func() { c.table.Apply(tx) })
		}
		return store.Result{}, err
	}
	r := c.table.Apply(tx)
	if e.ReplyLost {
		return store.Result{}, ErrReplyLost
	}
	return r, nil
}

// before applies the part of an effect that precedes the request.
func before(ctx context.Context, e Effect) error {
	if e.Down {
		return ErrDown
	}
	if e.Delay == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(e.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ETag returns the entity tag of the version of the last change.
func ETag(changed store.Version) string { return `"` + strconv.FormatUint(changed, 10) + `"` }
