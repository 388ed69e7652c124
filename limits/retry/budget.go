package retry

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Defaults of Options.
const (
	DefaultRatio  = 0.1 // Retries per request.
	DefaultWindow = 10 * time.Second
)

// bucketCount is the number of buckets that the window is divided into. The
// window slides by one bucket at a time.
const bucketCount = 20

// Options configures a budget. Zero values select the defaults.
type Options struct {
	// Ratio is the number of retries allowed per request. Default 0.1.
	Ratio float64
	// Window is the length of the sliding window in which requests and retries
	// are counted. Default 10 s.
	Window time.Duration
	// Minimum is the number of retries allowed per window regardless of traffic. Default 0.
	Minimum int
	// Now returns the current time. Default time.Now.
	Now func() time.Time
}

// Validate returns an error that lists every option that is out of range.
func (o Options) Validate() error {
	var errs []error
	if !(o.Ratio >= 0 && o.Ratio <= 1) {
		errs = append(errs, fmt.Errorf("retry options: Ratio is %v, must be in 0 to 1", o.Ratio))
	}
	if o.Window < 0 || o.Window != 0 && o.Window < bucketCount {
		errs = append(errs, fmt.Errorf("retry options: Window is %v, must be at least %v", o.Window, time.Duration(bucketCount)))
	}
	if o.Minimum < 0 {
		errs = append(errs, fmt.Errorf("retry options: Minimum is %d, must not be negative", o.Minimum))
	}
	return errors.Join(errs...)
}

func (o Options) withDefaults() Options {
	if o.Ratio == 0 {
		o.Ratio = DefaultRatio
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Budget decides whether a request may be retried.
type Budget interface {
	// Deposit counts a request of live traffic, which adds to the budget.
	Deposit()
	// TryWithdraw reports whether a retry is allowed, and counts it if so.
	TryWithdraw() bool
}

// SlidingWindow is a Budget that allows retries in proportion to the requests
// in a sliding window. It is safe for concurrent use.
type SlidingWindow struct {
	options     Options
	bucketWidth time.Duration // Time that one bucket covers.
	start       time.Time

	mu      sync.Mutex
	current int64 // Number of the newest bucket, counted from start.
	buckets [bucketCount]counts
	total   counts // Sum over buckets.
}

type counts struct{ requests, retries int64 }

var _ Budget = (*SlidingWindow)(nil)

// New returns an empty budget, or an error when the options are invalid.
func New(o Options) (*SlidingWindow, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	return &SlidingWindow{options: o, bucketWidth: o.Window / bucketCount, start: o.Now()}, nil
}

// Deposit implements Budget. It counts a request in the newest bucket.
func (b *SlidingWindow) Deposit() {
	now := b.options.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.buckets[b.current%bucketCount].requests++
	b.total.requests++
}

// TryWithdraw implements Budget. It allows a retry while the retries in the
// window are below the ratio of its requests, or below the minimum.
func (b *SlidingWindow) TryWithdraw() bool {
	now := b.options.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	allowed := max(int64(b.options.Ratio*float64(b.total.requests)), int64(b.options.Minimum))
	if b.total.retries >= allowed {
		return false
	}
	b.buckets[b.current%bucketCount].retries++
	b.total.retries++
	return true
}

// advance clears the buckets that have left the window at the time now. A time
// before the newest bucket is counted in the newest bucket.
func (b *SlidingWindow) advance(now time.Time) {
	newest := int64(now.Sub(b.start) / b.bucketWidth)
	if newest-b.current >= bucketCount {
		b.buckets, b.total, b.current = [bucketCount]counts{}, counts{}, newest
		return
	}
	for b.current < newest {
		b.current++
		old := &b.buckets[b.current%bucketCount]
		b.total.requests -= old.requests
		b.total.retries -= old.retries
		*old = counts{}
	}
}
