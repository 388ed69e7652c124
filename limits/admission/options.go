package admission

import (
	"errors"
	"fmt"
	"time"
)

// Default values of Options.
const (
	DefaultMaxQueue  = 256
	DefaultRoundSize = 4
	DefaultSmoothing = 0.1
	DefaultMinRetry  = 100 * time.Millisecond
	DefaultMaxRetry  = 10 * time.Second
)

// ErrOptions reports that an option is out of range.
var ErrOptions = errors.New("admission: option out of range")

// Options configure a Queue.
type Options struct {
	// MaxQueue bounds the waiting requests of a service whose ticket gives no
	// bound. Default 256.
	MaxQueue int
	// RoundSize is the number of requests of one customer that are served
	// before those of the next round. Default 4.
	RoundSize int
	// Smoothing is the weight of the latest service time in the running mean,
	// between 0 and 1. Default 0.1.
	Smoothing float64
	// MinRetry and MaxRetry bound RetryAfter. Defaults 100 ms and 10 s.
	MinRetry, MaxRetry time.Duration
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
	if o.MinRetry == 0 {
		o.MinRetry = DefaultMinRetry
	}
	if o.MaxRetry == 0 {
		o.MaxRetry = DefaultMaxRetry
	}
	return o
}

// Validate reports the first option that is out of range.
func (o Options) Validate() error {
	switch {
	case o.MaxQueue < 0:
		return fmt.Errorf("%w: queue bound %d is negative", ErrOptions, o.MaxQueue)
	case o.RoundSize < 1:
		return fmt.Errorf("%w: round size %d is below 1", ErrOptions, o.RoundSize)
	case o.Smoothing <= 0 || o.Smoothing > 1:
		return fmt.Errorf("%w: smoothing %g is not between 0 and 1", ErrOptions, o.Smoothing)
	case o.MinRetry < 0 || o.MaxRetry < o.MinRetry:
		return fmt.Errorf("%w: retry bounds %s to %s", ErrOptions, o.MinRetry, o.MaxRetry)
	}
	return nil
}
