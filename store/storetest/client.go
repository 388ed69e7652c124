package storetest

import (
	"context"
	"errors"
	"math"
	"strconv"
	"time"

	"peridotcrank.dev/store"
)

// Errors that requests return under scripted faults.
var (
	ErrDown      = errors.New("table is down")
	ErrReplyLost = errors.New("reply lost")
)

// requestTimeout is longer than any pause of a test process.
const requestTimeout = time.Hour

// Transport returns the transport of a named client to the table. Its requests
// are subject to the scripted faults.
func (t *Table) Transport(client string) store.Transport { return &transport{t, client} }

// Client returns a store client of a named process, with practically no limit on
// the write rate and with short retry intervals. It is the real client over an
// in-memory transport, so that it resolves unknown outcomes in the same way. Its
// request timeout is long, so that requests do not time out when the test gets
// little CPU time.
func (t *Table) Client(client string) *store.Client {
	c, err := store.NewClient(t.Transport(client), store.Options{
		WritesPerSecond: 1e6, WriteBurst: 1e6, RetryMin: time.Millisecond, RetryMax: 5 * time.Millisecond,
		ResolutionBudget: 50 * time.Millisecond, RecoveryRamp: time.Nanosecond, RequestTimeout: requestTimeout,
		// The breaker never opens, so that requests succeed as soon as a scripted fault ends.
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

func (c *transport) ReadRows(ctx context.Context, prefix string, since store.Version, etag string) (store.ReadResult, error) {
	e := c.table.NextEffect(c.client, Reads)
	if err := delayOrFail(ctx, e); err != nil {
		return store.ReadResult{}, err
	}
	snap, changed := c.table.ReadRows(prefix, since)
	if e.ReplyLost {
		return store.ReadResult{}, ErrReplyLost
	}
	tag := ETag(changed)
	return store.ReadResult{Revision: snap.Revision, Rows: snap.Rows, ETag: tag, Unchanged: tag == etag}, nil
}

func (c *transport) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	e := c.table.NextEffect(c.client, Commits)
	if err := delayOrFail(ctx, e); err != nil {
		if e.Delay > 0 && !e.Down {
			// The caller has timed out, and the delayed request still takes effect.
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

// delayOrFail applies the effects that precede the execution of a request: it
// returns ErrDown, or waits for the delay.
func delayOrFail(ctx context.Context, e Effect) error {
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

// ETag returns the entity tag of a read whose rows last changed in version changed.
func ETag(changed store.Version) string { return `"` + strconv.FormatUint(changed, 10) + `"` }
