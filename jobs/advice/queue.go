// Package advice calls the adviser for all shards of a process, one call at a time.
//
// The adviser handles the calls of a machine one after the other, and a call that its caller has given
// up takes its time all the same. So a call is sent only when the last one has ended, and the time that
// it may take grows with each call that was given up.
package advice

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/worker"
)

const (
	// replyMargin is added to the duration of a call that the policy states.
	replyMargin = 2 * time.Second
	// maxStatedDuration bounds the duration that the policy of a queue can state.
	maxStatedDuration = 2 * time.Minute
	// maxLimitDoublings bounds how often the limit of a call is doubled.
	maxLimitDoublings = 5
	// minRetryDelay is the pause after a call that failed. It doubles with each further one up to
	// maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 1600 * time.Millisecond
)

// Request is a call for advice on one step.
type Request struct {
	Step    string
	Workers []worker.ID
	Policy  worker.AdvicePolicy
	// Done is called once, on another goroutine, when the call has ended. It is not called for a request that
	// was withdrawn or replaced.
	Done func(Reply)
}

// statedDuration returns how long the adviser takes for the call.
func (r *Request) statedDuration() time.Duration {
	call, each := r.Policy.CallDuration, r.Policy.DurationPerWorker
	if each > maxStatedDuration/worker.MaxWorkersPerAdvice {
		return maxStatedDuration
	}
	return max(0, min(call, maxStatedDuration)) + max(0, each)*time.Duration(len(r.Workers))
}

// Reply is the outcome of a call.
type Reply struct {
	Advice worker.Advice
	Err    error
	// SentAt and ReceivedAt are on the clock of the queue. Limit is how long the call was allowed to take.
	SentAt, ReceivedAt, Limit time.Duration
}

// Queue sends the requests of several shards in the order in which they came. It is safe for concurrent use.
type Queue struct {
	adviser worker.Adviser
	clock   loop.Clock

	mu             sync.Mutex
	waiting        []*Request
	busy           bool // A call is in flight, or the pause after a failure lasts.
	limitDoublings int
	retryDelay     time.Duration // Pause after the last call; 0 if it was answered.
}

// NewQueue returns a queue for an adviser.
func NewQueue(adviser worker.Adviser, clock loop.Clock) *Queue {
	return &Queue{adviser: adviser, clock: clock}
}

// Add appends a request.
func (q *Queue) Add(r *Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, r)
	q.sendNext()
}

// Replace puts a request in the place of one that waits, or removes that one if the new request is nil. It
// returns false if the former request no longer waits.
func (q *Queue) Replace(former, r *Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting, former)
	switch {
	case i < 0:
		return false
	case r == nil:
		q.waiting = slices.Delete(q.waiting, i, i+1)
	default:
		q.waiting[i] = r
	}
	return true
}

// sendNext sends the first request if nothing is in flight. q.mu must be held.
func (q *Queue) sendNext() {
	if q.busy || len(q.waiting) == 0 {
		return
	}
	q.busy = true
	r := q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	limit := q.limit(r)
	go q.send(r, limit)
}

// limit returns how long a call may take. A call that was given up is still handled before the next one,
// and the adviser may be slower than the policy states.
func (q *Queue) limit(r *Request) time.Duration {
	return (r.statedDuration() + replyMargin) << q.limitDoublings
}

func (q *Queue) send(r *Request, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	reply := Reply{SentAt: q.clock(), Limit: limit}
	reply.Advice, reply.Err = q.adviser.Advise(ctx, r.Step, r.Workers)
	reply.ReceivedAt = q.clock()
	q.handleEnd(reply)
	r.Done(reply)
}

// handleEnd sends the next request, after a pause if the call failed.
func (q *Queue) handleEnd(reply Reply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if reply.Err == nil {
		q.retryDelay = 0
		q.shortenLimit(reply.ReceivedAt-reply.SentAt, reply.Limit)
		q.busy = false
		q.sendNext()
		return
	}
	if errors.Is(reply.Err, context.DeadlineExceeded) {
		q.limitDoublings = min(q.limitDoublings+1, maxLimitDoublings)
	}
	q.retryDelay = min(max(2*q.retryDelay, minRetryDelay), maxRetryDelay)
	time.AfterFunc(q.retryDelay, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.busy = false
		q.sendNext()
	})
}

// shortenLimit halves the limit as long as a call that took this long needs under half of it.
func (q *Queue) shortenLimit(took, limit time.Duration) {
	for q.limitDoublings > 0 && took < limit/4 {
		q.limitDoublings--
		limit /= 2
	}
}
