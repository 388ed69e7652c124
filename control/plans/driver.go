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

// Options configures a Driver.
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
	// MaxConcurrentActs limits the number of acts that run at once. Default 16.
	MaxConcurrentActs int
	// ActTimeout limits the duration of one act. Default 2 s.
	ActTimeout time.Duration
	// Now is a monotonic clock that includes time in which the process was
	// suspended. Default time.Now.
	Now func() time.Time
	// Go runs an act. Default: in a new goroutine. Tests run acts synchronously.
	Go func(func())
	// Leaving returns the VMs that are known to be leaving, which do not count
	// as serving. Optional.
	Leaving func() map[fleet.VMID]bool
	// OnAction is called after each action, with its error or nil. Optional.
	OnAction func(Action, error)
}

// Defaults of Options.
const (
	DefaultInterval          = 250 * time.Millisecond
	DefaultIdleInterval      = time.Second
	DefaultMaxConcurrentActs = 16
	DefaultActTimeout        = 2 * time.Second
)

// Validate returns an error for missing fields, negative numbers and limits that
// contradict each other.
func (o Options) Validate() error {
	if o.Self == "" || o.Table == nil || o.Environment == nil {
		return errors.New("plan driver options: Self, Table and Environment are required")
	}
	if min(o.Interval, o.IdleInterval) < 0 || o.MaxConcurrentActs < 0 || o.ActTimeout < 0 {
		return errors.New("plan driver options: an interval, a timeout or the number of acts is negative")
	}
	return o.Limits.Validate()
}

func (o Options) withDefaults() Options {
	setDefault(&o.Interval, DefaultInterval)
	setDefault(&o.IdleInterval, DefaultIdleInterval)
	setDefault(&o.MaxConcurrentActs, DefaultMaxConcurrentActs)
	setDefault(&o.ActTimeout, DefaultActTimeout)
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
	options    Options
	replica    *Replica
	observer   observer
	heldEpochs map[fleet.PlanID]uint64
	actSlots   chan struct{} // One per running act.

	mu        sync.Mutex // Guards the fields below, which acts write.
	evidence  map[fleet.VMID]move.Evidence
	lastActAt map[fleet.VMID]time.Time
}

// NewDriver returns a driver, or an error for invalid options.
func NewDriver(o Options) (*Driver, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	return &Driver{
		options: o, replica: NewReplica(o.Table),
		observer:   observer{maxGap: o.Limits.Lease / 2},
		heldEpochs: map[fleet.PlanID]uint64{}, actSlots: make(chan struct{}, o.MaxConcurrentActs),
		evidence: map[fleet.VMID]move.Evidence{}, lastActAt: map[fleet.VMID]time.Time{},
	}, nil
}

// Run calls Tick until ctx ends, at intervals with a jitter of a quarter.
func (d *Driver) Run(ctx context.Context) {
	for {
		// The error has been passed to OnAction, or comes from a read that the next
		// tick repeats.
		_ = d.Tick(ctx)
		interval := d.tickInterval()
		jitter := time.Duration(rand.Int64N(int64(interval)/2 + 1))
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval*3/4 + jitter):
		}
	}
}

// tickInterval returns the mean time to the next tick. A process that only observes the
// leases of other processes reads half as often as one that drives a plan.
func (d *Driver) tickInterval() time.Duration {
	if d.DrivenPlanCount() > 0 {
		return d.options.Interval
	}
	for _, plan := range d.Snapshot().Plans {
		if plan.State.NeedsDriver() {
			return min(2*d.options.Interval, d.options.IdleInterval)
		}
	}
	return d.options.IdleInterval
}

// Tick refreshes the rows, decides on the next actions and applies them.
func (d *Driver) Tick(ctx context.Context) error {
	if err := d.replica.Refresh(ctx); err != nil {
		return err
	}
	var errs []error
	for _, action := range d.Decide(d.options.Now()) {
		if err := d.applyAction(ctx, action); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// Snapshot returns the rows as of the last refresh.
func (d *Driver) Snapshot() *fleet.Snapshot { return d.replica.Snapshot() }

// DrivenPlanCount returns the number of plans whose lease this process has taken and not lost.
func (d *Driver) DrivenPlanCount() int {
	n := 0
	for id, plan := range d.replica.Snapshot().Plans {
		if plan.State.NeedsDriver() && plan.Driver == d.options.Self && d.heldEpochs[id] == plan.Epoch {
			n++
		}
	}
	return n
}

// Decide returns the next actions according to the last refresh of the rows.
func (d *Driver) Decide(now time.Time) []Action {
	s := d.replica.Snapshot()
	leaving := d.options.Leaving()
	d.observer.observe(now, s)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropOutdated(s)
	return NextActions(now, Input{
		Self: d.options.Self, Snapshot: s, HeldEpochs: d.heldEpochs, Observed: d.observer.observed,
		Evidence: d.evidence, LastActAt: d.lastActAt, Leaving: leaving, Limits: d.options.Limits,
	})
}

// dropOutdated drops the evidence about VM rows that have changed since, and the
// lease epochs of plans that have ended.
func (d *Driver) dropOutdated(s *fleet.Snapshot) {
	for id, e := range d.evidence {
		if s.VMs[id].Version != e.Version {
			delete(d.evidence, id)
			delete(d.lastActAt, id)
		}
	}
	for id := range d.heldEpochs {
		if plan, ok := s.Plans[id]; ok && plan.State.Ended() {
			delete(d.heldEpochs, id)
		}
	}
}

func (d *Driver) applyAction(ctx context.Context, action Action) error {
	if action.Transaction == nil {
		d.startAct(ctx, action)
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
		return &TransactionRejectedError{Plan: action.Plan, Reason: action.Reason, Failed: result.Failed}
	}
	if action.AcquiredEpoch > 0 {
		d.heldEpochs[action.Plan] = action.AcquiredEpoch
	}
	return nil
}

// TransactionRejectedError means that a transaction was rejected because the lease was lost or
// a row had changed. The next tick decides again from the new rows.
type TransactionRejectedError struct {
	Plan   fleet.PlanID
	Reason string
	Failed []store.Condition
}

// Error implements error.
func (e *TransactionRejectedError) Error() string {
	return fmt.Sprintf("plan %s: %s: transaction rejected, because these rows have changed: %v", e.Plan, e.Reason, e.Failed)
}
