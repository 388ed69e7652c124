package advice

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/worker"
)

// scriptedAdviser takes a duration for each call and records the steps.
type scriptedAdviser struct {
	took  func(call int) time.Duration
	err   error // Of each call that is not given up.
	mu    sync.Mutex
	steps []string
	limit []time.Duration // How long each call was permitted to take.
}

// Advise implements [worker.Adviser].
func (a *scriptedAdviser) Advise(ctx context.Context, step string, _ []worker.ID) (worker.Advice, error) {
	deadline, _ := ctx.Deadline()
	a.mu.Lock()
	a.steps, a.limit = append(a.steps, step), append(a.limit, time.Until(deadline))
	call := len(a.steps)
	a.mu.Unlock()
	select {
	case <-time.After(a.took(call)):
		return worker.Advice{}, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// calls returns the steps and the limits of the calls so far.
func (a *scriptedAdviser) calls() (steps []string, limits []time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.steps), slices.Clone(a.limit)
}

func onQueue(t *testing.T, a *scriptedAdviser, test func(*Queue)) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		test(NewQueue(a, func() time.Duration { return time.Since(began) }))
		time.Sleep(time.Hour) // Until all calls have ended.
	})
}

func request(step string) *Request { return &Request{Step: step, Done: func(Reply) {}} }

// Guards against requests that are sent beside others, or out of turn, or although they were withdrawn.
func TestRequestsTakeTurns(t *testing.T) {
	a := &scriptedAdviser{took: func(int) time.Duration { return time.Second }}
	onQueue(t, a, func(q *Queue) {
		first, second, third := request("first"), request("second"), request("third")
		for _, r := range []*Request{first, second, third} {
			q.Add(r)
		}
		time.Sleep(500 * time.Millisecond)
		steps, _ := a.calls()
		assert.DeepEqual(t, steps, []string{"first"})
		assert.Assert(t, !q.Replace(first, nil), "it was sent")
		assert.Assert(t, q.Replace(second, request("other")))
		assert.Assert(t, q.Replace(third, nil))
		q.Add(request("last"))
		time.Sleep(3 * time.Second)
		steps, _ = a.calls()
		assert.DeepEqual(t, steps, []string{"first", "other", "last"})
	})
}

// Guards against limits that stay below the time of the adviser, and against long ones that last when it is quick again.
func TestLimitFollowsAdviser(t *testing.T) {
	a := &scriptedAdviser{took: func(call int) time.Duration {
		if call <= 4 {
			return 9 * time.Second
		}
		return 10 * time.Millisecond
	}}
	onQueue(t, a, func(q *Queue) {
		for range 6 {
			q.Add(request("step"))
		}
		time.Sleep(time.Minute)
		_, limits := a.calls()
		assert.DeepEqual(t, limits, []time.Duration{replyMargin, 2 * replyMargin, 4 * replyMargin, 8 * replyMargin, 8 * replyMargin, replyMargin})
	})
}

// Guards against an adviser that fails at once and is called without end.
func TestFailuresPauseTheQueue(t *testing.T) {
	a := &scriptedAdviser{took: func(int) time.Duration { return 0 }, err: errors.New("no")}
	onQueue(t, a, func(q *Queue) {
		for range 100 {
			q.Add(request("step"))
		}
		time.Sleep(10 * time.Second)
		steps, limits := a.calls()
		assert.Assert(t, len(steps) > 5 && len(steps) <= 10, "%d calls in 10 s", len(steps))
		assert.Assert(t, !slices.ContainsFunc(limits, func(d time.Duration) bool { return d != replyMargin }))
	})
}
