package store

import (
	"errors"
	"fmt"
	"time"
)

// Defaults of Options.
const (
	// DefaultRequestTimeout is long against a healthy reply of some milliseconds
	// and short against the 3 s validity of a view.
	DefaultRequestTimeout = time.Second
	// DefaultResolutionBudget bounds the search for the outcome of a write.
	// It is the length of a plan lease: after that another driver takes over.
	DefaultResolutionBudget = 5 * time.Second
	// DefaultWritesPerSecond is the share of one of 9 entry processes in the
	// several hundred writes per second of a site.
	DefaultWritesPerSecond = 30
	// DefaultWriteBurst is small, so that a store that returns is not flooded.
	DefaultWriteBurst = 2
	// DefaultWriteQueue is the number of writes that may wait for the budget.
	DefaultWriteQueue = 256
	// DefaultRecoveryRamp is the time in which the write rate returns to
	// its limit after an outage.
	DefaultRecoveryRamp = 10 * time.Second
	// DefaultBreakerFailures is the number of consecutive failures that open the breaker.
	DefaultBreakerFailures = 5
	// DefaultBreakerOpen is the time for which an open breaker refuses requests.
	DefaultBreakerOpen = time.Second
)

// Options configure a Client. Zero fields take their defaults.
type Options struct {
	RequestTimeout   time.Duration
	ResolutionBudget time.Duration
	WritesPerSecond  float64
	WriteBurst       int
	WriteQueue       int
	RecoveryRamp     time.Duration
	BreakerFailures  uint32
	BreakerOpen      time.Duration
	// RetryMin and RetryMax bound the interval between retries, before jitter.
	// Defaults 50 ms and 1 s.
	RetryMin, RetryMax time.Duration
	// Now is the clock of ages. Default time.Now.
	Now func() time.Time
}

// Validate reports every negative field.
func (o Options) Validate() error {
	var errs []error
	for name, v := range map[string]float64{
		"request_timeout": float64(o.RequestTimeout), "resolution_budget": float64(o.ResolutionBudget),
		"writes_per_second": o.WritesPerSecond, "write_burst": float64(o.WriteBurst), "write_queue": float64(o.WriteQueue),
		"recovery_ramp": float64(o.RecoveryRamp), "breaker_open": float64(o.BreakerOpen),
		"retry_min": float64(o.RetryMin), "retry_max": float64(o.RetryMax),
	} {
		if v < 0 {
			errs = append(errs, fmt.Errorf("store option %s is negative", name))
		}
	}
	return errors.Join(errs...)
}

func (o Options) withDefaults() Options {
	def(&o.RequestTimeout, DefaultRequestTimeout)
	def(&o.ResolutionBudget, DefaultResolutionBudget)
	def(&o.WritesPerSecond, DefaultWritesPerSecond)
	def(&o.WriteBurst, DefaultWriteBurst)
	def(&o.WriteQueue, DefaultWriteQueue)
	def(&o.RecoveryRamp, DefaultRecoveryRamp)
	def(&o.BreakerFailures, DefaultBreakerFailures)
	def(&o.BreakerOpen, DefaultBreakerOpen)
	def(&o.RetryMin, 50*time.Millisecond)
	def(&o.RetryMax, time.Second)
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

func def[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
