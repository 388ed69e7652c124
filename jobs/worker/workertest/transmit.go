package workertest

import (
	"context"
	"time"

	"peridotcrank.dev/jobs/worker"
)

const (
	// slowCallInterval is the number of requests, and of replies, of which one is slow with
	// [Readings.SlowCalls].
	slowCallInterval = 4
	// maxTransmission is the longest time that a slow request or reply is on its way.
	maxTransmission = 300 * time.Millisecond
	// maxCallTime bounds a call that nobody awaits.
	maxCallTime = 5 * time.Second
)

// reply is the reply to a call.
type reply[T any] struct {
	value T
	err   error
}

// transmit makes a call to a worker whose request and reply may be slow. The call is executed
// even if its caller has given up, but not by a later incarnation of the worker.
func transmit[T any](ctx context.Context, f *Fleet, id worker.ID, call func(context.Context) (T, error)) (T, error) {
	var none T
	request, response, sentTo := f.drawTransmission(id)
	if request+response == 0 {
		return call(ctx)
	}
	replies := make(chan reply[T], 1)
	go func() {
		callCtx, cancel := context.WithTimeout(f.closed, maxCallTime)
		defer cancel()
		if sleep(callCtx, request) != nil || !f.isCurrent(sentTo) {
			return
		}
		value, err := call(callCtx)
		if sleep(callCtx, response) == nil {
			replies <- reply[T]{value, err}
		}
	}()
	select {
	case r := <-replies:
		return r.value, r.err
	case <-ctx.Done():
		return none, ErrNoReply
	}
}

// drawTransmission returns how long the request and the reply of a call are on their way, and
// the worker to which the call is sent.
func (f *Fleet) drawTransmission(id worker.ID) (request, response time.Duration, to *simulatedWorker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	draw := func() time.Duration {
		if !f.Readings.SlowCalls || f.random().IntN(slowCallInterval) > 0 {
			return 0
		}
		return time.Duration(f.random().Int64N(int64(maxTransmission)))
	}
	return draw(), draw(), f.workers[id]
}

// isCurrent reports whether no later incarnation of a worker exists.
func (f *Fleet) isCurrent(w *simulatedWorker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return w != nil && f.workers[w.info.ID] == w
}

// sleep waits for a time, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(TimerDelay(d)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
