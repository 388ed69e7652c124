package plans

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/move"
	"peridotcrank.dev/store"
)

// Options configure a Driver.
type Options struct {
	Self        fleet.MemberID
	Table       store.Table
	Environment Environment
	Limits      Limits
	// Interval is the mean time between two ticks of Run while this process
	// drives a plan. Default 250 ms.
	Interval time.Duration
	// IdleInterval is the mean time between two ticks while no plan needs a
	// driver. Default 1 s.
	IdleInterval time.Duration
	// Acts is the number of acts that run at once. Default 16.
	Acts int
	// ActTimeout bounds one act. Default 2 s.
	ActTimeout time.Duration
	// Now is a monotonic clock that includes time in which the process was
	// suspended. Default time.Now.
	Now func() time.Time
	// Go runs an act. Default: a new goroutine. Tests run acts in place.
	Go func(func())
	// Leaving returns the VMs that are known to be leaving, which do not count
	// as serving. Optional.
	Leaving func() map[fleet.VMID]bool
	// OnAction is called after each action with its error. Optional.
	OnAction func(Action, error)
}

// Defaults of Options.
const (
	DefaultInterval     = 250 * time.Millisecond
	DefaultIdleInterval = time.Second
	DefaultActs         = 16
	DefaultActTimeout   = 2 * time.Second
)

// Validate reports missing fields and limits that contradict each other.
func (o Options) Validate() error {
	if o.Self == "" || o.Table == nil || o.Environment == nil {
		return errors.New("plan driver options: Self, Table and Environment are required")
	}
	if min(o.Interval, o.IdleInterval) < 0 || o.Acts < 0 || o.ActTimeout < 0 {
		return errors.New("plan driver options: a number is negative")
	}
	return o.Limits.Validate()
}

func (o Options) withDefaults() Options {
	def(&o.Interval, DefaultInterval)
	def(&o.IdleInterval, DefaultIdleInterval)
	def(&o.Acts, DefaultActs)
	def(&o.ActTimeout, DefaultActTimeout)
	o.Limits = o.Limits.WithDefaults()
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Go == nil {
		o.Go = func(f func()) { go f() }
	}
	if o.Leaving == nil {
		o.Leaving = func() map[fleet.VMID]bool { return nil }
	}
	if o.OnAction == nil {
		o.OnAction = func(Action, error) {}
	}
	return o
}

// Driver drives the confirmed plans whose leases it obtains. Tick must not be
// called concurrently.
type Driver struct {
	options  Options
	replica  *Replica
	observer observer
	held     map[fleet.PlanID]uint64
	slots    chan struct{} // One per running act.

	mu       sync.Mutex // Guards the fields below, which acts write.
	evidence map[fleet.VMID]move.Evidence
	acted    map[fleet.VMID]time.Time
}

// NewDriver returns a driver.
func NewDriver(o Options) (*Driver, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	return &Driver{
		options: o, replica: NewReplica(o.Table),
		observer: observer{maxGap: o.Limits.Lease / 2},
		held:     map[fleet.PlanID]uint64{}, slots: make(chan struct{}, o.Acts),
		evidence: map[fleet.VMID]move.Evidence{}, acted: map[fleet.VMID]time.Time{},
	}, nil
}

// Run ticks until ctx ends, at intervals with a jitter of a quarter.
func (d *Driver) Run(ctx context.Context) {
	for {
		// The error has been reported to OnAction or concerns a read that the
		// next tick repeats.
		_ = d.Tick(ctx)
		interval := d.interval()
		jitter := time.Duration(rand.Int64N(int64(interval)/2 + 1))
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval*3/4 + jitter):
		}
	}
}

// interval returns the mean time to the next tick. A process that only watches
// the leases of others reads half as often as one that drives a plan.
func (d *Driver) interval() time.Duration {
	if d.Drives() > 0 {
		return d.options.Interval
	}
	for _, plan := range d.Snapshot().Plans {
		if plan.State.NeedsDriver() {
			return min(2*d.options.Interval, d.options.IdleInterval)
		}
	}
	return d.options.IdleInterval
}

// Tick refreshes the rows, decides and applies the actions.
func (d *Driver) Tick(ctx context.Context) error {
	if err := d.replica.Refresh(ctx); err != nil {
		return err
	}
	var errs []error
	for _, action := range d.Decide(d.options.Now()) {
		if err := d.apply(ctx, action); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// Snapshot returns the rows as of the last refresh.
func (d *Driver) Snapshot() *fleet.Snapshot { return d.replica.Snapshot() }

// Drives returns the number of plans whose lease this process has taken and not lost.
func (d *Driver) Drives() int {
	n := 0
	for id, plan := range d.replica.Snapshot().Plans {
		if plan.State.NeedsDriver() && plan.Driver == d.options.Self && d.held[id] == plan.Epoch {
			n++
		}
	}
	return n
}

// Decide returns the next actions from the rows read last.
func (d *Driver) Decide(now time.Time) []Action {
	s := d.replica.Snapshot()
	leaving := d.options.Leaving()
	d.observer.observe(now, s)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(s)
	return Step(now, View{
		Self: d.options.Self, Snapshot: s, Held: d.held, Seen: d.observer.seen,
		Evidence: d.evidence, Acted: d.acted, Leaving: leaving, Limits: d.options.Limits,
	})
}

// forget drops the evidence about rows that have changed and the epochs of ended plans.
func (d *Driver) forget(s *fleet.Snapshot) {
	for id, e := range d.evidence {
		if s.VMs[id].Version != e.Version {
			delete(d.evidence, id)
			delete(d.acted, id)
		}
	}
	for id := range d.held {
		if plan, ok := s.Plans[id]; ok && plan.State.Ended() {
			delete(d.held, id)
		}
	}
}

func (d *Driver) apply(ctx context.Context, action Action) error {
	if action.Transaction == nil {
		d.start(ctx, action)
		return nil
	}
	err := d.commit(ctx, action)
	d.options.OnAction(action, err)
	return err
}

func (d *Driver) commit(ctx context.Context, action Action) error {
	result, err := d.options.Table.Commit(ctx, *action.Transaction)
	if err != nil {
		return fmt.Errorf("plan %s: %s: %w", action.Plan, action.Reason, err)
	}
	if !result.Applied() {
		return &LostError{Plan: action.Plan, Reason: action.Reason, Failed: result.Failed}
	}
	if action.Acquire > 0 {
		d.held[action.Plan] = action.Acquire
	}
	return nil
}

// LostError means that a transaction was rejected, because the lease was lost
// or a row had changed. The next tick decides from the new rows.
type LostError struct {
	Plan   fleet.PlanID
	Reason string
	Failed []store.Condition
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("plan %s: %s: rejected: %v have changed", e.Plan, e.Reason, e.Failed)
}
