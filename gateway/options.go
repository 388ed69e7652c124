package gateway

import (
	"errors"
	"fmt"
	"time"

	"peridotcrank.dev/claims"
	"peridotcrank.dev/exchange"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/retry"
	"peridotcrank.dev/routing"
)

// Defaults of Options and of services.
const (
	DefaultMaxAttempts = 4
	DefaultMaxInFlight = 4096
	// DefaultMaxRefusals lets a request outlast an availability zone whose four
	// backend servers of a pool all refuse: each is ejected after three refusals.
	DefaultMaxRefusals      = 16
	DefaultMaxBufferedBytes = 64 << 20
	DefaultSlowSenderLimit  = 5 * time.Second
	DefaultSlowReaderLimit  = 10 * time.Second

	DefaultTimeout      = 2 * time.Second
	DefaultMaxBodyBytes = 1 << 20
	DefaultMaxQueue     = 256
)

// ConfigurationSource provides the configuration in force.
type ConfigurationSource interface {
	// Configuration returns an immutable value, or nil when none is known yet.
	Configuration() *fleet.Configuration
}

// Observation describes a request that has ended.
type Observation struct {
	Service  fleet.ServiceName // Empty when no service matched.
	Pool     fleet.PoolID
	Customer fleet.CustomerID
	Status   int
	Outcome  Outcome
	Reason   string        // Why the gateway refused; empty for an answer.
	Err      error         // Cause of the refusal, if any.
	Attempts int           // Exchanges started.
	Duration time.Duration // From arrival to the end of the answer.
	Aborted  bool          // A streamed answer was cut off.
}

// Options configures a gateway. Zero values select the defaults.
type Options struct {
	Dispatcher    routing.Dispatcher
	Claims        claims.Registry
	Exchange      exchange.Client
	Configuration ConfigurationSource

	// Ready reports whether the process may receive requests. Default: always.
	Ready func() bool
	// Observe is called at the end of each request. Default: nothing.
	Observe func(Observation)

	// Retry configures the retry budget of each pool.
	Retry retry.Options
	// MaxAttempts bounds the exchanges of one request in which a byte was written. Default 4.
	MaxAttempts int
	// MaxRefusals bounds the exchanges of one request that ended before a byte
	// was written. Default 16.
	MaxRefusals int
	// MaxInFlight bounds the requests of callers at once; more are refused as not
	// run. Default 4,096.
	MaxInFlight int
	// MaxBufferedBytes bounds the request bodies held at once, in bytes. Answers
	// that wait for slow readers count towards it. Default 64 MiB.
	MaxBufferedBytes int64
	// SlowSenderLimit bounds the time in which a request body must arrive. Default 5 s.
	SlowSenderLimit time.Duration
	// SlowReaderLimit bounds the time in which a buffered answer must be taken. Default 10 s.
	SlowReaderLimit time.Duration
}

// Validate reports every option that is missing or out of range.
func (o Options) Validate() error {
	return errors.Join(
		required("Dispatcher", o.Dispatcher != nil),
		required("Claims", o.Claims != nil),
		required("Exchange", o.Exchange != nil),
		required("Configuration", o.Configuration != nil),
		notNegative("MaxAttempts", o.MaxAttempts),
		notNegative("MaxInFlight", o.MaxInFlight),
		notNegative("MaxRefusals", o.MaxRefusals),
		notNegative("MaxBufferedBytes", o.MaxBufferedBytes),
		notNegative("SlowSenderLimit", o.SlowSenderLimit),
		notNegative("SlowReaderLimit", o.SlowReaderLimit),
		o.Retry.Validate(),
	)
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxAttempts, DefaultMaxAttempts)
	setDefault(&o.MaxInFlight, DefaultMaxInFlight)
	setDefault(&o.MaxRefusals, DefaultMaxRefusals)
	setDefault(&o.MaxBufferedBytes, DefaultMaxBufferedBytes)
	setDefault(&o.SlowSenderLimit, DefaultSlowSenderLimit)
	setDefault(&o.SlowReaderLimit, DefaultSlowReaderLimit)
	if o.Ready == nil {
		o.Ready = func() bool { return true }
	}
	if o.Observe == nil {
		o.Observe = func(Observation) {}
	}
	return o
}

type number interface {
	~int | ~int64
}

func setDefault[T number](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func required(name string, set bool) error {
	if !set {
		return fmt.Errorf("gateway options: %s is missing", name)
	}
	return nil
}

func notNegative[T number](name string, value T) error {
	if value < 0 {
		return fmt.Errorf("gateway options: %s is %v, must not be negative", name, value)
	}
	return nil
}
