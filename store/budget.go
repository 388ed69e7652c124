package store

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// recoveryFraction is the fraction of the write rate that is available right after an outage.
const recoveryFraction = 0.1

// Budget bounds the writes of one process and grants them by priority.
type Budget struct {
	limiter *rate.Limiter
	limit   float64 // Writes per second.
	ramp    time.Duration
	size    int

	mu        sync.Mutex
	waiting   [priorities][]*waiter
	waiters   int
	pumping   bool
	recovered time.Time // When the last outage ended; zero without one.
}

type waiter struct{ granted chan error }

// NewBudget returns a budget with the limits of o.
func NewBudget(o Options) *Budget {
	o = o.withDefaults()
	return &Budget{
		limiter: rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WriteBurst),
		limit:   o.WritesPerSecond, ramp: o.RecoveryRamp, size: o.WriteQueue,
	}
}

// Wait blocks until a write of the priority may be sent. When the queue is
// full, a waiting write of the lowest priority below p is refused in its place.
func (b *Budget) Wait(ctx context.Context, p Priority) error {
	w := &waiter{granted: make(chan error, 1)}
	if !b.enqueue(w, p) {
		return ErrBudget
	}
	select {
	case err := <-w.granted:
		return err
	case <-ctx.Done():
		b.remove(w, p)
		return context.Cause(ctx)
	}
}

// Recovered starts the ramp after an outage.
func (b *Budget) Recovered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recovered = time.Now()
	b.adjust(b.recovered)
}

// Waiting returns the number of writes that wait.
func (b *Budget) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiters
}

func (b *Budget) enqueue(w *waiter, p Priority) bool {
	p = min(p, priorities-1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiters >= b.size && !b.evictBelow(p) {
		return false
	}
	b.waiting[p] = append(b.waiting[p], w)
	b.waiters++
	if !b.pumping {
		b.pumping = true
		go b.pump()
	}
	return true
}

func (b *Budget) evictBelow(p Priority) bool {
	for q := priorities - 1; q > p; q-- {
		if n := len(b.waiting[q]); n > 0 {
			b.waiting[q][n-1].granted <- ErrBudget
			b.waiting[q] = b.waiting[q][:n-1]
			b.waiters--
			return true
		}
	}
	return false
}

func (b *Budget) remove(w *waiter, p Priority) {
	p = min(p, priorities-1)
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting[p] {
		if other == w {
			b.waiting[p] = append(b.waiting[p][:i], b.waiting[p][i+1:]...)
			b.waiters--
			return
		}
	}
}

// pump grants waiting writes at the limiter's pace. It ends when nobody waits.
func (b *Budget) pump() {
	for {
		b.mu.Lock()
		b.adjust(time.Now())
		if b.waiters == 0 {
			b.pumping = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		// The burst is at least 1, so that waiting for one token cannot fail.
		_ = b.limiter.Wait(context.Background())
		b.grant()
	}
}

func (b *Budget) grant() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p := range b.waiting {
		if len(b.waiting[p]) > 0 {
			b.waiting[p][0].granted <- nil
			b.waiting[p] = b.waiting[p][1:]
			b.waiters--
			return
		}
	}
}

// adjust sets the rate for the time since the last outage.
func (b *Budget) adjust(now time.Time) {
	limit := b.limit
	if !b.recovered.IsZero() {
		if since := now.Sub(b.recovered); since < b.ramp {
			limit *= max(recoveryFraction, float64(since)/float64(b.ramp))
		} else {
			b.recovered = time.Time{}
		}
	}
	b.limiter.SetLimitAt(now, rate.Limit(limit))
}
