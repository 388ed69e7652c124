package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"peridotcrank.dev/limits/admission"
	"peridotcrank.dev/limits/slots"
)

// ErrOptions reports that an option is out of range.
var ErrOptions = errors.New("routing: option out of range")

// Options configure a Router. The zero value selects the defaults.
type Options struct {
	Slots     slots.Options
	Admission admission.Options
	Ejection  EjectionOptions
	Spill     SpillOptions
	Borrow    BorrowOptions
	// Peers carries requests for slots to other entry processes. Without it
	// the router neither borrows nor hands over slots early.
	Peers slots.Peers
	// Notify receives the router's events. It is called under the router's
	// lock: it must not wait and must not call the router.
	Notify func(Event)
	// Now reads a monotonic clock. Default time.Now.
	Now func() time.Time
	// Random breaks ties between backend servers. Default a random seed.
	Random rand.Source
}

// EjectionOptions configure the ejection of failing backend servers.
type EjectionOptions struct {
	// Refusals is the number of consecutive attempts without a written byte
	// that ejects. Default 3.
	Refusals int
	// Rate is the share of failed attempts that ejects, when it is also twice
	// the mean of the pool. Default 0.5.
	Rate float64
	// Samples is the number of attempts before Rate applies. Default 5.
	Samples int
	// Base is the length of the first ejection; each further one doubles it. Default 2 s.
	Base time.Duration
	// Max bounds the length of an ejection. Default 60 s.
	Max time.Duration
}

// SpillOptions configure when a pool leaves the local availability zone.
type SpillOptions struct {
	// CalmShare is the share of local slots that would have to be free under
	// the pool's whole load for a return to local backend servers. Default 0.5.
	CalmShare float64
	// CalmTime is the time for which that must hold. Default 1 s.
	CalmTime time.Duration
}

// BorrowOptions configure borrowing from peers.
type BorrowOptions struct {
	// Timeout bounds one request to a peer. Default 250 ms.
	Timeout time.Duration
	// IdleTime is the time after which borrowed slots are given back when no
	// request has waited. Default 50 ms.
	IdleTime time.Duration
	// Probe is the interval at which a peer is asked although none has reported
	// idle slots, while requests wait. Default 100 ms: reports come with
	// heartbeats only, and slots become idle in between.
	Probe time.Duration
	// Fresh is the age up to which a peer's report of idle slots is used. Default 1 s.
	Fresh time.Duration
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
	setDefault(&o.Rate, 0.5)
	setDefault(&o.Samples, 5)
	setDefault(&o.Base, 2*time.Second)
	setDefault(&o.Max, 60*time.Second)
	return o
}

func (o SpillOptions) withDefaults() SpillOptions {
	setDefault(&o.CalmShare, 0.5)
	setDefault(&o.CalmTime, time.Second)
	return o
}

func (o BorrowOptions) withDefaults() BorrowOptions {
	setDefault(&o.Timeout, 250*time.Millisecond)
	setDefault(&o.IdleTime, 50*time.Millisecond)
	setDefault(&o.Probe, 100*time.Millisecond)
	setDefault(&o.Fresh, time.Second)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate reports the first option that is out of range.
func (o Options) Validate() error {
	o = o.withDefaults()
	if err := errors.Join(o.Slots.Validate(), o.Admission.Validate()); err != nil {
		return fmt.Errorf("routing: %w", err)
	}
	switch {
	case o.Ejection.Refusals < 1 || o.Ejection.Samples < 1:
		return fmt.Errorf("%w: ejection after %d refusals or %d samples", ErrOptions, o.Ejection.Refusals, o.Ejection.Samples)
	case o.Ejection.Rate < 0 || o.Ejection.Rate > 1:
		return fmt.Errorf("%w: ejection rate %g is not between 0 and 1", ErrOptions, o.Ejection.Rate)
	case o.Ejection.Base < 0 || o.Ejection.Max < o.Ejection.Base:
		return fmt.Errorf("%w: ejection for %s to %s", ErrOptions, o.Ejection.Base, o.Ejection.Max)
	case o.Spill.CalmShare < 0 || o.Spill.CalmShare > 1 || o.Spill.CalmTime < 0:
		return fmt.Errorf("%w: calm share %g for %s", ErrOptions, o.Spill.CalmShare, o.Spill.CalmTime)
	case o.Borrow.Timeout < 0 || o.Borrow.IdleTime < 0 || o.Borrow.Probe < 0 || o.Borrow.Fresh < 0:
		return fmt.Errorf("%w: a time for borrowing is negative", ErrOptions)
	}
	return nil
}
