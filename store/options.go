package store

import (
	"errors"
	"fmt"
	"time"
)

// Defaults of Options.
const (
	// DefaultRequestTimeout is much longer than the few milliseconds of a normal
	// reply and well below the 3 s validity of a member view.
	DefaultRequestTimeout = time.Second
	// DefaultResolutionBudget bounds the time spent on resolving the outcome of a
	// write. It equals the length of a plan lease, after which another driver
	// takes over the plan.
	DefaultResolutionBudget = 5 * time.Second
	// DefaultWritesPerSecond is the share of one entry process out of 9 in the
	// several hundred writes per second that a site is allowed.
	DefaultWritesPerSecond = 30
	// DefaultWriteBurst is small, so that queued writes do not overload the table
	// service when it recovers from an outage.
	DefaultWriteBurst = 2
	// DefaultWriteQueue is the largest number of writes that wait for the write budget.
	DefaultWriteQueue = 256
	// DefaultRecoveryRamp is the time over which the write rate rises to its
	// limit after an outage.
	DefaultRecoveryRamp = 10 * time.Second
	// DefaultBreakerFailures is the number of consecutive failures that open the
	// circuit breaker.
	DefaultBreakerFailures = 5
	// DefaultBreakerOpen is the time for which an open circuit breaker rejects requests.
	DefaultBreakerOpen = time.Second
)

// Options configures a Client. Zero fields take their defaults.
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
	// Now returns the current time, from which the ages of reads and the time of
	// deletions are computed. Default time.Now.
	Now func() time.Time
}

// Validate returns an error that names every negative field, or nil.
func (o Options) Validate() error {
	var errs []error
	for name, v := range map[string]float64{
		"request_timeout": float64(o.RequestTimeout), "resolution_budget": float64(o.ResolutionBudget),
		"writes_per_second": o.WritesPerSecond, "write_burst": float64(o.WriteBurst), "write_queue": float64(o.WriteQueue),
		"recovery_ramp": float64(o.RecoveryRamp), "breaker_open": float64(o.BreakerOpen),
		"retry_min": float64(o.RetryMin), "retry_max": float64(o.RetryMax),
	} {
		if v < 0 {
			errs = append(errs, fmt.Errorf("store option %s must not be negative", name))
		}
	}
	return errors.Join(errs...)
}

func (o Options) withDefaults() Options {
	setDefault(&o.RequestTimeout, DefaultRequestTimeout)
	setDefault(&o.ResolutionBudget, DefaultResolutionBudget)
	setDefault(&o.WritesPerSecond, DefaultWritesPerSecond)
	setDefault(&o.WriteBurst, DefaultWriteBurst)
	setDefault(&o.WriteQueue, DefaultWriteQueue)
	setDefault(&o.RecoveryRamp, DefaultRecoveryRamp)
	setDefault(&o.BreakerFailures, DefaultBreakerFailures)
	setDefault(&o.BreakerOpen, DefaultBreakerOpen)
	setDefault(&o.RetryMin, 50*time.Millisecond)
	setDefault(&o.RetryMax, time.Second)
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// setDefault sets the field to value when it has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
