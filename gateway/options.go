package gateway

import (
	"errors"
	"fmt"
	"time"

	"peridotcrank.dev/claims"
	"peridotcrank.dev/exchange"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/inbound"
	"peridotcrank.dev/limits/retry"
	"peridotcrank.dev/routing"
)

// Defaults of Options and of services.
const (
	DefaultMaxAttempts = 4
	DefaultMaxInFlight = 4096
	// DefaultMaxRefusals lets a request survive the failure of one availability
	// zone. It exceeds the 12 refused connections that the zone can cause: its
	// four backend servers of a pool are ejected after three refusals each.
	DefaultMaxRefusals      = 16
	DefaultMaxBufferedBytes = 64 << 20
	DefaultSlowSenderLimit  = inbound.DefaultBodyTimeout
	DefaultSlowReaderLimit  = 10 * time.Second

	DefaultTimeout      = 2 * time.Second
	DefaultMaxBodyBytes = 1 << 20
	DefaultMaxQueue     = 256
)

// ConfigurationSource provides the configuration in force.
type ConfigurationSource interface {
	// Configuration returns the current configuration, which is immutable, or nil
	// when none is known yet.
	Configuration() *fleet.Configuration
}

// Observation describes a completed request, for metrics and logs.
type Observation struct {
	Service  fleet.ServiceName // Empty when no service matched.
	Pool     fleet.PoolID
	Customer fleet.CustomerID
	Status   int
	Outcome  Outcome
	Reason   string        // Why the gateway refused; empty when a backend server responded.
	Err      error         // Cause of the refusal, if any.
	Attempts int           // Exchanges started.
	Duration time.Duration // From arrival to the end of the response.
	Aborted  bool          // A streamed response was cut off.
}

// Options configures a gateway. Zero values select the defaults.
type Options struct {
	Dispatcher    routing.Dispatcher
	Claims        claims.Registry
	Exchange      exchange.Client
	Configuration ConfigurationSource

	// Ready reports whether the process accepts requests. Default: always.
	Ready func() bool
	// Observe is called at the end of each request. Default: no call.
	Observe func(Observation)

	// Retry configures the retry budget of each pool.
	Retry retry.Options
	// MaxAttempts bounds the exchanges of one request in which a byte was written. Default 4.
	MaxAttempts int
	// MaxRefusals bounds the exchanges of one request that failed before a byte
	// was written, such as refused connections. Default 16.
	MaxRefusals int
	// MaxInFlight bounds the callers' requests in progress; further requests are
	// refused with outcome not-run. Default 4,096.
	MaxInFlight int
	// MaxBufferedBytes bounds the request bodies in memory, in bytes. Responses
	// that wait for slow readers count towards it. Default 64 MiB.
	MaxBufferedBytes int64
	// SlowSenderLimit bounds the time in which a request body must arrive. Default 5 s.
	SlowSenderLimit time.Duration
	// SlowReaderLimit bounds the time in which the caller must receive a buffered
	// response. Default 10 s.
	SlowReaderLimit time.Duration
}

// Validate reports every option that is missing or out of range.
func (o Options) Validate() error {
	return errors.Join(
		requireSet("Dispatcher", o.Dispatcher != nil),
		requireSet("Claims", o.Claims != nil),
		requireSet("Exchange", o.Exchange != nil),
		requireSet("Configuration", o.Configuration != nil),
		requireNotNegative("MaxAttempts", o.MaxAttempts),
		requireNotNegative("MaxInFlight", o.MaxInFlight),
		requireNotNegative("MaxRefusals", o.MaxRefusals),
		requireNotNegative("MaxBufferedBytes", o.MaxBufferedBytes),
		requireNotNegative("SlowSenderLimit", o.SlowSenderLimit),
		requireNotNegative("SlowReaderLimit", o.SlowReaderLimit),
		o.Retry.Validate(),
	)
}

// withDefaults replaces zero values by the defaults.
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

// setDefault sets a field that is zero.
func setDefault[T number](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func requireSet(name string, set bool) error {
	if !set {
		return fmt.Errorf("gateway options: %s is missing", name)
	}
	return nil
}

func requireNotNegative[T number](name string, value T) error {
	if value < 0 {
		return fmt.Errorf("gateway options: %s is %v, must not be negative", name, value)
	}
	return nil
}
