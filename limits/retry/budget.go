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

// buckets is the number of parts of the window. The window slides by one part
// at a time.
const buckets = 20

// Options configures a budget. Zero values select the defaults.
type Options struct {
	// Ratio is the number of retries allowed per request. Default 0.1.
	Ratio float64
	// Window is the time over which requests and retries are counted. Default 10 s.
	Window time.Duration
	// Minimum is the number of retries allowed per window regardless of traffic. Default 0.
	Minimum int
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Validate reports every option that is out of range.
func (o Options) Validate() error {
	var errs []error
	if !(o.Ratio >= 0 && o.Ratio <= 1) {
		errs = append(errs, fmt.Errorf("retry options: Ratio is %v, must be in 0 to 1", o.Ratio))
	}
	if o.Window < 0 || o.Window != 0 && o.Window < buckets {
		errs = append(errs, fmt.Errorf("retry options: Window is %v, must be at least %v", o.Window, time.Duration(buckets)))
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
	// Deposit counts a request of live traffic.
	Deposit()
	// TryWithdraw counts a retry and reports whether it is allowed.
	TryWithdraw() bool
}

// Sliding is a Budget over a sliding window. It is safe for concurrent use.
type Sliding struct {
	options Options
	width   time.Duration // Time that one bucket covers.
	start   time.Time

	mu      sync.Mutex
	current int64 // Number of the newest bucket since start.
	ring    [buckets]counts
	total   counts // Sum over ring.
}

type counts struct{ requests, retries int64 }

var _ Budget = (*Sliding)(nil)

// New returns a budget, or an error when the options are invalid.
func New(o Options) (*Sliding, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	return &Sliding{options: o, width: o.Window / buckets, start: o.Now()}, nil
}

// Deposit implements Budget.
func (b *Sliding) Deposit() {
	now := b.options.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.ring[b.current%buckets].requests++
	b.total.requests++
}

// TryWithdraw implements Budget.
func (b *Sliding) TryWithdraw() bool {
	now := b.options.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	allowed := max(int64(b.options.Ratio*float64(b.total.requests)), int64(b.options.Minimum))
	if b.total.retries >= allowed {
		return false
	}
	b.ring[b.current%buckets].retries++
	b.total.retries++
	return true
}

// advance clears the buckets that have left the window. A clock reading older
// than the newest bucket counts towards that bucket.
func (b *Sliding) advance(now time.Time) {
	target := int64(now.Sub(b.start) / b.width)
	if target-b.current >= buckets {
		b.ring, b.total, b.current = [buckets]counts{}, counts{}, target
		return
	}
	for b.current < target {
		b.current++
		old := &b.ring[b.current%buckets]
		b.total.requests -= old.requests
		b.total.retries -= old.retries
		*old = counts{}
	}
}
