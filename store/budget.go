package store

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// recoveryFraction is the fraction of the write rate that is available
// immediately after an outage.
const recoveryFraction = 0.1

// WriteBudget limits the rate of the writes of one process and grants waiting
// writes in order of priority.
type WriteBudget struct {
	limiter         *rate.Limiter
	writesPerSecond float64
	ramp            time.Duration
	maxQueued       int

	mu          sync.Mutex
	queues      [priorityCount][]*queuedWrite
	queued      int
	granting    bool
	recoveredAt time.Time // When the last outage ended; zero once the ramp is over.
}

// queuedWrite is a write that waits for its grant. It receives nil or an error once.
type queuedWrite struct{ granted chan error }

// NewWriteBudget returns a budget with the rate, burst, queue length and ramp of o.
func NewWriteBudget(o Options) *WriteBudget {
	o = o.withDefaults()
	return &WriteBudget{
		limiter:         rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WriteBurst),
		writesPerSecond: o.WritesPerSecond, ramp: o.RecoveryRamp, maxQueued: o.WriteQueue,
	}
}

// Wait blocks until a write of priority p is allowed. When the queue is full, it
// rejects the latest write of the lowest priority in the queue, if that
// priority is below p; otherwise it returns ErrWriteBudget. It returns the cause
// of ctx when ctx ends first.
func (b *WriteBudget) Wait(ctx context.Context, p Priority) error {
	w := &queuedWrite{granted: make(chan error, 1)}
	if !b.enqueue(w, p) {
		return ErrWriteBudget
	}
	select {
	case err := <-w.granted:
		return err
	case <-ctx.Done():
		b.remove(w, p)
		return context.Cause(ctx)
	}
}

// StartRecovery starts the ramp of the write rate after an outage.
func (b *WriteBudget) StartRecovery() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recoveredAt = time.Now()
	b.updateRate(b.recoveredAt)
}

// QueuedWrites returns the number of writes that wait for their grant.
func (b *WriteBudget) QueuedWrites() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queued
}

func (b *WriteBudget) enqueue(w *queuedWrite, p Priority) bool {
	p = min(p, priorityCount-1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queued >= b.maxQueued && !b.rejectLowerPriority(p) {
		return false
	}
	b.queues[p] = append(b.queues[p], w)
	b.queued++
	if !b.granting {
		b.granting = true
		go b.grantLoop()
	}
	return true
}

// rejectLowerPriority removes the latest write of the lowest priority from the
// queue. It returns false when no write has a lower priority than p.
func (b *WriteBudget) rejectLowerPriority(p Priority) bool {
	for q := priorityCount - 1; q > p; q-- {
		if n := len(b.queues[q]); n > 0 {
			b.queues[q][n-1].granted <- ErrWriteBudget
			b.queues[q] = b.queues[q][:n-1]
			b.queued--
			return true
		}
	}
	return false
}

func (b *WriteBudget) remove(w *queuedWrite, p Priority) {
	p = min(p, priorityCount-1)
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.queues[p] {
		if other == w {
			b.queues[p] = append(b.queues[p][:i], b.queues[p][i+1:]...)
			b.queued--
			return
		}
	}
}

// grantLoop grants queued writes at the rate of the limiter and returns when the
// queue is empty.
func (b *WriteBudget) grantLoop() {
	for {
		b.mu.Lock()
		b.updateRate(time.Now())
		if b.queued == 0 {
			b.granting = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		// Waiting for one token cannot fail, because the burst is at least 1.
		_ = b.limiter.Wait(context.Background())
		b.grantNext()
	}
}

// grantNext grants the oldest write of the highest priority in the queue.
func (b *WriteBudget) grantNext() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p := range b.queues {
		if len(b.queues[p]) > 0 {
			b.queues[p][0].granted <- nil
			b.queues[p] = b.queues[p][1:]
			b.queued--
			return
		}
	}
}

// updateRate sets the limiter's rate, which rises to the full rate over the ramp
// after an outage.
func (b *WriteBudget) updateRate(now time.Time) {
	limit := b.writesPerSecond
	if !b.recoveredAt.IsZero() {
		if since := now.Sub(b.recoveredAt); since < b.ramp {
			limit *= max(recoveryFraction, float64(since)/float64(b.ramp))
		} else {
			b.recoveredAt = time.Time{}
		}
	}
	b.limiter.SetLimitAt(now, rate.Limit(limit))
}
