package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
)

// course is how long the request of a call and its reply are under way, and the fault of the call.
type course struct {
	request, reply time.Duration
	fault          rowstest.Fault
}

// follow executes a call as its course demands. A call that is given up is executed nevertheless.
func follow[T any](ctx context.Context, f *faultyStore, call func(context.Context) (T, error)) (result T, err error) {
	if f.draw == nil {
		return call(ctx)
	}
	c := f.draw()
	if c.fault == rowstest.Rejected {
		return result, rows.ErrNotExecuted
	}
	type outcome struct {
		result T
		err    error
	}
	replies := make(chan outcome, 1)
	if c.fault != rowstest.RequestLost {
		time.AfterFunc(c.request, func() {
			result, err := call(context.WithoutCancel(ctx))
			if c.fault != rowstest.ResponseLost {
				time.AfterFunc(c.reply, func() { replies <- outcome{result, err} })
			}
		})
	}
	select {
	case reply := <-replies:
		return reply.result, reply.err
	case <-ctx.Done():
		return result, rowstest.ErrNoReply
	}
}

// drawnCalls draws the courses of the calls of one process.
type drawnCalls struct {
	mu      sync.Mutex
	rng     *rand.Rand
	slowest time.Duration
	failing bool // A quarter of the calls fails or is executed late.
}

func (d *drawnCalls) set(slowest time.Duration, failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slowest, d.failing = slowest, failing
}

func (d *drawnCalls) next() course {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 1 + d.rng.Int64N(int64(d.slowest))
	request := d.rng.Int64N(total)
	c := course{request: time.Duration(request), reply: time.Duration(total - request)}
	if !d.failing || d.rng.IntN(4) > 0 {
		return c
	}
	switch d.rng.IntN(4) {
	case 0:
		c.fault = rowstest.Rejected
	case 1:
		c.fault = rowstest.RequestLost
	case 2:
		c.fault = rowstest.ResponseLost
	case 3:
		c.request += time.Duration(d.rng.Int64N(int64(maxLateCall)))
	}
	return c
}
