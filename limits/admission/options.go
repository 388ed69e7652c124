package admission

import (
	"errors"
	"fmt"
	"time"
)

// Default values of Options.
const (
	DefaultMaxQueue      = 256
	DefaultRoundSize     = 4
	DefaultSmoothing     = 0.1
	DefaultMinRetryAfter = 100 * time.Millisecond
	DefaultMaxRetryAfter = 10 * time.Second
)

// ErrInvalidOptions reports that an option is out of range.
var ErrInvalidOptions = errors.New("admission: option out of range")

// Options configures a Queue. Zero values select the defaults.
type Options struct {
	// MaxQueue bounds the waiting requests of a service when Request.MaxQueue
	// is 0. Default 256.
	MaxQueue int
	// RoundSize is the number of requests that each customer has in one round of
	// fair queueing. Default 4.
	RoundSize int
	// Smoothing is the weight of the latest service time in the exponentially
	// weighted mean, above 0 and at most 1. Default 0.1.
	Smoothing float64
	// MinRetryAfter and MaxRetryAfter bound the result of Queue.RetryAfter.
	// Defaults 100 ms and 10 s.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// WithDefaults returns o with default values in place of zero fields.
func (o Options) WithDefaults() Options {
	if o.MaxQueue == 0 {
		o.MaxQueue = DefaultMaxQueue
	}
	if o.RoundSize == 0 {
		o.RoundSize = DefaultRoundSize
	}
	if o.Smoothing == 0 {
		o.Smoothing = DefaultSmoothing
	}
	if o.MinRetryAfter == 0 {
		o.MinRetryAfter = DefaultMinRetryAfter
	}
	if o.MaxRetryAfter == 0 {
		o.MaxRetryAfter = DefaultMaxRetryAfter
	}
	return o
}

// Validate returns an error that wraps ErrInvalidOptions and names the first option
// that is out of range.
func (o Options) Validate() error {
	switch {
	case o.MaxQueue < 0:
		return fmt.Errorf("%w: queue bound %d is negative", ErrInvalidOptions, o.MaxQueue)
	case o.RoundSize < 1:
		return fmt.Errorf("%w: round size %d is below 1", ErrInvalidOptions, o.RoundSize)
	case o.Smoothing <= 0 || o.Smoothing > 1:
		return fmt.Errorf("%w: smoothing %g is not between 0 and 1", ErrInvalidOptions, o.Smoothing)
	case o.MinRetryAfter < 0 || o.MaxRetryAfter < o.MinRetryAfter:
		return fmt.Errorf("%w: bounds %s to %s of RetryAfter are negative or reversed", ErrInvalidOptions, o.MinRetryAfter, o.MaxRetryAfter)
	}
	return nil
}
