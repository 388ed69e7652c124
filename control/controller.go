package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/membership"
	"peridotcrank.dev/store"
)

// eventQueue bounds the events that wait for the control goroutine.
const eventQueue = 1024

// event changes the control state. apply runs on the control goroutine.
type event interface {
	apply(c *Controller)
}

// Controller is the control loop of an entry process.
type Controller struct {
	options Options
	events  chan event
	wakeup  chan struct{}  // Asks the poller for an immediate read.
	work    sync.WaitGroup // Goroutines that work for the controller.

	state      atomic.Pointer[State]
	validUntil atomic.Int64 // Nanoseconds on Options.Now; 0 before the first confirmation.

	// lifetime is the context of Run, for work that no caller waits for.
	lifetime context.Context

	// The fields below are owned by the control goroutine.
	self    fleet.Member
	rows    *rows
	tracker *membership.Tracker
	config  *fleet.Configuration
	peers   map[fleet.MemberID]PeerState
	leaving map[fleet.VMID]bool // By the platform's VM list.
	report  report
	// conversations holds the state of the heartbeats with each peer.
	conversations map[fleet.MemberID]conversation
	reachable     bool
	readAt        time.Duration
	leavingUs     bool          // This process has been told to leave.
	writing       bool          // A write of the members row is in progress or not read back yet.
	written       time.Duration // End of that write, or 0.
	fetching      bool          // A read of rows from a peer is in progress.
	valid         bool
	alarms        alarms
	dirty         bool // The state has changed since its publication.
	// fleetDirty says that what the traffic side routes by has changed, too.
	fleetDirty bool
	published  *fleet.Snapshot
	edition    uint64               // Number of the published snapshot.
	marked     map[fleet.VMID]bool  // VMs that the published snapshot shows as leaving.
	rollOut    *configurationSpread // Roll-out that this process measures, or nil.
	// afterPublish is called after the next publication.
	afterPublish []func()
}

// New returns a controller that does nothing before Run.
func New(o Options) (*Controller, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	tracker, err := membership.NewTracker(o.Self.ID, o.Params)
	if err != nil {
		return nil, fmt.Errorf("create membership tracker: %w", err)
	}
	c := &Controller{
		options: o, events: make(chan event, eventQueue), wakeup: make(chan struct{}, 1),
		self: o.Self, rows: newRows(), tracker: tracker,
		config: &fleet.Configuration{}, peers: make(map[fleet.MemberID]PeerState), conversations: make(map[fleet.MemberID]conversation), leaving: make(map[fleet.VMID]bool),
	}
	c.publish()
	return c, nil
}

// State returns the current state.
func (c *Controller) State() *State { return c.state.Load() }

// Configuration returns the configuration in force, or nil before one is known.
func (c *Controller) Configuration() *fleet.Configuration {
	if config := c.State().Config; config.Version > 0 {
		return config
	}
	return nil
}

// Valid reports whether the view of this process is valid at this moment.
func (c *Controller) Valid() bool {
	return c.options.Now() < time.Duration(c.validUntil.Load())
}

// Run runs the control loop until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.lifetime = ctx
	c.work.Go(func() { c.pollRows(ctx) })
	c.work.Go(func() { c.pollVMs(ctx) })
	ticker := time.NewTicker(c.options.Params.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.validUntil.Store(0)
			c.work.Wait()
			return
		case e := <-c.events:
			e.apply(c)
		case <-ticker.C:
			c.tick(ctx)
		}
		c.drainEvents()
		c.settle(ctx)
	}
}

// drainEvents applies the events that have arrived meanwhile, so that they
// share one publication.
func (c *Controller) drainEvents() {
	for {
		select {
		case e := <-c.events:
			e.apply(c)
		default:
			return
		}
	}
}

// send hands an event to the control goroutine.
func (c *Controller) send(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// settle publishes the state and starts the writes that it calls for.
func (c *Controller) settle(ctx context.Context) {
	c.updateValidity()
	if c.dirty {
		c.dirty = false
		c.publish()
	}
	for _, f := range c.afterPublish {
		f()
	}
	c.afterPublish = nil
	c.maintainMembership(ctx)
}

func (c *Controller) updateValidity() {
	now := c.options.Now()
	until, confirmed := c.tracker.ValidUntil()
	if !confirmed || !c.tracker.InView() {
		until = 0
	}
	c.validUntil.Store(int64(until))
	if valid := now < until; valid != c.valid {
		c.valid = valid
		code := eventlog.ViewExpired
		if valid {
			code = eventlog.ViewConfirmed
		}
		c.options.Log.Record(code, eventlog.Fields{"fleet_revision": c.rows.revision, "view_version": c.tracker.View().Version})
	}
}

// publish makes the state visible to other goroutines and to the traffic side.
func (c *Controller) publish() {
	if c.fleetDirty || c.published == nil {
		c.published = c.snapshot()
	}
	snapshot, view := c.published, c.tracker.View()
	wait, known := c.tracker.WaitUntilAllLapsed(c.options.Now())
	next := &State{
		Self: c.self, Fleet: snapshot, Members: view, MembersVersion: c.rows.membersVersion,
		Config: c.config, ConfigVersion: c.rows.configVersion, InView: c.tracker.InView(), Settled: known && wait == 0,
		Peers: c.copyPeers(), StoreReachable: c.reachable, StoreRead: c.readAt,
	}
	// The traffic side comes first: a drain query that sees the new revision in
	// the state may rely on its being used for routing.
	if c.fleetDirty {
		c.fleetDirty = false
		c.options.Traffic.SetView(snapshot, view, c.self)
	}
	c.state.Store(next)
}

func (c *Controller) copyPeers() map[fleet.MemberID]PeerState {
	peers := make(map[fleet.MemberID]PeerState, len(c.peers))
	for id, p := range c.peers {
		peers[id] = p
	}
	for _, id := range c.tracker.Suspects(c.options.Now()) {
		p := peers[id]
		p.Suspected = true
		peers[id] = p
	}
	return peers
}

// applyRows takes in rows from the table service or a peer.
func (c *Controller) applyRows(revision store.Version, changed []store.Row) {
	before, beforeMembers := c.rows.revision, c.rows.membersVersion
	if revision < before && c.rows.isOlder(changed) {
		c.options.Log.Record(eventlog.StoreRevisionDecreased, eventlog.Fields{"revision": revision, "fleet_revision": before})
	}
	for _, err := range c.rows.apply(revision, changed) {
		c.options.Log.Record(eventlog.RowUnreadable, eventlog.Fields{"error": err.Error()})
	}
	if c.rows.revision != before {
		c.markFleetDirty()
		c.tracker.SetFleetRevision(c.options.Now(), c.rows.revision)
	}
	if c.rows.membersVersion != beforeMembers {
		c.adoptView()
	}
	c.adoptConfiguration(&c.rows.config)
}

// adoptView takes in the members row.
func (c *Controller) adoptView() {
	before := c.tracker.View()
	if !c.tracker.SetView(c.options.Now(), c.rows.members) {
		return
	}
	view := c.tracker.View()
	c.logViewChange(before, view)
	for id := range c.peers {
		// A new incarnation has confirmed nothing yet, even under the same ID.
		if incarnationIn(view, id) != incarnationIn(before, id) {
			delete(c.peers, id)
			delete(c.conversations, id)
		}
	}
	c.options.Peers.SetMembers(view)
	c.options.OnMembers(view, c.self)
	c.markFleetDirty()
}

func (c *Controller) markFleetDirty() { c.dirty, c.fleetDirty = true, true }

// incarnationIn returns the incarnation of a member, or 0 when the view does not hold it.
func incarnationIn(view fleet.MemberView, id fleet.MemberID) uint64 {
	for _, m := range view.Members {
		if m.ID == id {
			return m.Incarnation
		}
	}
	return 0
}
