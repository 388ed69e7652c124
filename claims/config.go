package claims

import (
	"errors"
	"time"

	"peridotcrank.dev/fleet"
)

// Default values of Config.
const (
	DefaultWindow         = 60 * time.Second
	DefaultValidFor       = 3 * time.Second
	DefaultDispatchWithin = 10 * time.Second
	// DefaultClaimTimeout is longer than the membership module takes to write one
	// eviction, and shorter than the timeouts of callers.
	DefaultClaimTimeout = time.Second
	// DefaultRetryInterval is the pause between attempts of a claim that certainly
	// had no effect, and between repeated recovery or handover messages.
	DefaultRetryInterval = 10 * time.Millisecond
	// DefaultRecoveryTimeout limits one request for a page of records.
	DefaultRecoveryTimeout = 500 * time.Millisecond
	// DefaultMaxRecords is enough for the default window at two thousand claims per
	// second of which this process is dispatcher, owner or holder of an extra copy.
	DefaultMaxRecords = 200_000
	// DefaultPageSize keeps a page of keys of the maximum length below the frame
	// limit of 1 MiB.
	DefaultPageSize = 1000
)

// MaxKeyLength is the maximum length of an encoded key, in bytes.
const MaxKeyLength = 512

// Config holds the settings of a Service.
type Config struct {
	Self      fleet.MemberID
	Transport Transport
	// Valid reports whether the member view of this process is valid now. It is
	// called with the service's lock held and must not call the service.
	Valid func() bool
	// Now returns the time of a monotonic clock that also counts while the process
	// is suspended.
	Now func() time.Duration

	// Window is the time for which a claim is stored.
	Window time.Duration
	// ValidFor is the longest time for which an evicted member continues to dispatch.
	ValidFor time.Duration
	// DispatchWithin is the time after the start of a claim during which its
	// request is allowed to be dispatched. It is less than Window.
	DispatchWithin  time.Duration
	ClaimTimeout    time.Duration // Maximum duration of Claim.
	RetryInterval   time.Duration
	RecoveryTimeout time.Duration
	MaxRecords      int
	PageSize        int
}

// Validate returns an error that describes the first missing or invalid setting.
func (c Config) Validate() error {
	switch {
	case c.Self == "" || c.Transport == nil || c.Valid == nil || c.Now == nil:
		return errors.New("claims: Self, Transport, Valid and Now are required")
	case c.DispatchWithin >= c.Window:
		return errors.New("claims: DispatchWithin must be less than Window")
	case c.ClaimTimeout > c.DispatchWithin:
		return errors.New("claims: ClaimTimeout must not exceed DispatchWithin")
	case c.MaxRecords < 1 || c.PageSize < 1:
		return errors.New("claims: MaxRecords and PageSize must be positive")
	case c.ValidFor <= 0 || c.ClaimTimeout <= 0 || c.RetryInterval <= 0 || c.RecoveryTimeout <= 0:
		return errors.New("claims: durations must be positive")
	}
	return nil
}

func (c Config) withDefaults() Config {
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.ValidFor, DefaultValidFor)
	setDefault(&c.DispatchWithin, DefaultDispatchWithin)
	setDefault(&c.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&c.RetryInterval, DefaultRetryInterval)
	setDefault(&c.RecoveryTimeout, DefaultRecoveryTimeout)
	setDefault(&c.MaxRecords, DefaultMaxRecords)
	setDefault(&c.PageSize, DefaultPageSize)
	return c
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// retention is the longest time for which a claim is relevant after all members
// knew that its holders had left.
func (c Config) retention() time.Duration { return c.Window + c.ValidFor + bucketWidth }
