package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"peridotcrank.dev/limits/admission"
	"peridotcrank.dev/limits/slots"
)

// ErrInvalidOptions reports that an option is out of range.
var ErrInvalidOptions = errors.New("routing: option out of range")

// Options configures a Router. The zero value selects the defaults.
type Options struct {
	Slots     slots.Options
	Admission admission.Options
	Ejection  EjectionOptions
	Spill     SpillOptions
	Borrow    BorrowOptions
	// Peers sends borrow requests, returns and handovers of slots to other
	// entry processes. If it is nil, the router neither borrows slots nor hands
	// them over early.
	Peers slots.Peers
	// Notify receives the router's events. It is called with the router's lock
	// held, so it must neither block nor call the router.
	Notify func(Event)
	// Now returns the time of a monotonic clock. Default time.Now.
	Now func() time.Time
	// Random breaks ties between backend servers. The default has a random seed.
	Random rand.Source
}

// EjectionOptions configures the ejection of failing backend servers.
type EjectionOptions struct {
	// Refusals is the number of consecutive attempts without a written byte
	// after which a backend server is ejected. Default 3.
	Refusals int
	// ErrorRate is the share of failed attempts above which a backend server is
	// ejected, provided that it is also above twice the mean of the pool.
	// Default 0.5.
	ErrorRate float64
	// MinSamples is the number of attempts before ErrorRate applies. Default 5.
	MinSamples int
	// BaseDuration is the duration of the first ejection. Each consecutive
	// ejection doubles it. Default 2 s.
	BaseDuration time.Duration
	// MaxDuration limits the duration of an ejection. Default 60 s.
	MaxDuration time.Duration
}

// SpillOptions configures when a pool that uses other availability zones returns
// to the local one.
type SpillOptions struct {
	// MinFreeShare is the minimum share of the local slots that would remain free
	// if they carried the pool's whole load. The pool returns to local backend
	// servers only if this share is met. Default 0.5.
	MinFreeShare float64
	// MinFreeTime is the time for which MinFreeShare must be met before the pool
	// returns. Default 1 s.
	MinFreeTime time.Duration
}

// BorrowOptions configures the borrowing of slots from peers.
type BorrowOptions struct {
	// Timeout limits one request to a peer. Default 250 ms.
	Timeout time.Duration
	// IdleTimeout is the time without a waiting request after which idle
	// borrowed slots are returned. Default 50 ms.
	IdleTimeout time.Duration
	// ProbeInterval is the minimum time between requests to random peers, which
	// are sent while requests wait and no peer has reported idle slots. Peers
	// report idle slots only with heartbeats, and slots also become idle between
	// two heartbeats. Default 100 ms.
	ProbeInterval time.Duration
	// MaxReportAge is the age up to which a peer's report of idle slots is used.
	// Default 1 s.
	MaxReportAge time.Duration
}

func (o Options) withDefaults() Options {
	o.Slots, o.Admission = o.Slots.WithDefaults(), o.Admission.WithDefaults()
	o.Ejection, o.Spill, o.Borrow = o.Ejection.withDefaults(), o.Spill.withDefaults(), o.Borrow.withDefaults()
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Random == nil {
		o.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	return o
}

func (o EjectionOptions) withDefaults() EjectionOptions {
	setDefault(&o.Refusals, 3)
	setDefault(&o.ErrorRate, 0.5)
	setDefault(&o.MinSamples, 5)
	setDefault(&o.BaseDuration, 2*time.Second)
	setDefault(&o.MaxDuration, 60*time.Second)
	return o
}

func (o SpillOptions) withDefaults() SpillOptions {
	setDefault(&o.MinFreeShare, 0.5)
	setDefault(&o.MinFreeTime, time.Second)
	return o
}

func (o BorrowOptions) withDefaults() BorrowOptions {
	setDefault(&o.Timeout, 250*time.Millisecond)
	setDefault(&o.IdleTimeout, 50*time.Millisecond)
	setDefault(&o.ProbeInterval, 100*time.Millisecond)
	setDefault(&o.MaxReportAge, time.Second)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns an error that describes the first option that is out of range.
func (o Options) Validate() error {
	o = o.withDefaults()
	if err := errors.Join(o.Slots.Validate(), o.Admission.Validate()); err != nil {
		return fmt.Errorf("routing: %w", err)
	}
	switch {
	case o.Ejection.Refusals < 1 || o.Ejection.MinSamples < 1:
		return fmt.Errorf("%w: ejection after %d refusals or %d samples", ErrInvalidOptions, o.Ejection.Refusals, o.Ejection.MinSamples)
	case o.Ejection.ErrorRate < 0 || o.Ejection.ErrorRate > 1:
		return fmt.Errorf("%w: ejection error rate %g is not between 0 and 1", ErrInvalidOptions, o.Ejection.ErrorRate)
	case o.Ejection.BaseDuration < 0 || o.Ejection.MaxDuration < o.Ejection.BaseDuration:
		return fmt.Errorf("%w: ejection duration of %s to %s", ErrInvalidOptions, o.Ejection.BaseDuration, o.Ejection.MaxDuration)
	case o.Spill.MinFreeShare < 0 || o.Spill.MinFreeShare > 1 || o.Spill.MinFreeTime < 0:
		return fmt.Errorf("%w: spill ends at a free share of %g for %s", ErrInvalidOptions, o.Spill.MinFreeShare, o.Spill.MinFreeTime)
	case o.Borrow.Timeout < 0 || o.Borrow.IdleTimeout < 0 || o.Borrow.ProbeInterval < 0 || o.Borrow.MaxReportAge < 0:
		return fmt.Errorf("%w: a duration for borrowing is negative", ErrInvalidOptions)
	}
	return nil
}
