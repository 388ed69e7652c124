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

// eventQueueSize limits the number of events that wait for the control goroutine.
const eventQueueSize = 1024

// event is a change of the control state. apply runs on the control goroutine.
type event interface {
	apply(c *Controller)
}

// Controller is the control loop of an entry process.
type Controller struct {
	options    Options
	events     chan event
	pollNow    chan struct{}  // Triggers an immediate read of the table service.
	background sync.WaitGroup // Goroutines started by the controller.

	state      atomic.Pointer[State]
	validUntil atomic.Int64 // Nanoseconds on Options.Now; 0 before the first confirmation.

	// runContext is the context of Run, for goroutines that no caller waits for.
	runContext context.Context

	// The fields below are owned by the control goroutine.
	self    fleet.Member
	rows    *rows
	tracker *membership.Tracker
	config  *fleet.Configuration
	peers   map[fleet.MemberID]PeerState
	leaving map[fleet.VMID]bool // VMs that the platform's VM list reports as leaving.
	report  report
	// exchanges holds the state of the heartbeats exchanged with each peer.
	exchanges        map[fleet.MemberID]heartbeatExchange
	storeReachable   bool          // The last read of the table service succeeded.
	storeReadAt      time.Duration // Start of the last successful read.
	selfLeaving      bool          // This process is leaving the member view.
	writingMembers   bool          // A write of the members row is in progress or not read back yet.
	membersWrittenAt time.Duration // Time at which that write returned, or 0.
	fetchingRows     bool          // A read of rows from a peer is in progress.
	valid            bool          // Validity of the view that was recorded last.
	alarms           alarms
	dirty            bool // The state has changed since its publication.
	// fleetDirty means that data for routing requests has changed too: the fleet
	// snapshot, the member view or the identity of this process.
	fleetDirty        bool
	publishedSnapshot *fleet.Snapshot
	snapshotNumber    uint64              // Number of the published snapshot.
	publishedLeaving  map[fleet.VMID]bool // VMs that the published snapshot shows as leaving.
	rollOut           *rollOutStarted     // Roll-out whose duration this process measures, or nil.
	// afterPublish holds functions to call after the next publication.
	afterPublish []func()
}

// New returns a controller that starts no work before Run. It returns an error
// for invalid options.
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
		options: o, events: make(chan event, eventQueueSize), pollNow: make(chan struct{}, 1),
		self: o.Self, rows: newRows(), tracker: tracker,
		config: &fleet.Configuration{}, peers: make(map[fleet.MemberID]PeerState), exchanges: make(map[fleet.MemberID]heartbeatExchange), leaving: make(map[fleet.VMID]bool),
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

// Run runs the control loop until ctx ends, and returns after the goroutines of
// the controller have ended.
func (c *Controller) Run(ctx context.Context) {
	c.runContext = ctx
	c.background.Go(func() { c.pollRows(ctx) })
	c.background.Go(func() { c.pollVMs(ctx) })
	ticker := time.NewTicker(c.options.Params.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.validUntil.Store(0)
			c.background.Wait()
			return
		case e := <-c.events:
			e.apply(c)
		case <-ticker.C:
			c.tick(ctx)
		}
		c.drainEvents()
		c.finishIteration(ctx)
	}
}

// drainEvents applies all queued events, so that they share one publication.
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

// send queues an event for the control goroutine. The event can be lost once ctx
// has ended.
func (c *Controller) send(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// finishIteration ends an iteration of the control loop. It updates the validity,
// publishes a changed state and starts the membership writes that it requires.
func (c *Controller) finishIteration(ctx context.Context) {
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

// updateValidity stores the time until which the view is valid, and records the
// start and end of validity.
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
	if c.fleetDirty || c.publishedSnapshot == nil {
		c.publishedSnapshot = c.nextSnapshot()
	}
	snapshot, view := c.publishedSnapshot, c.tracker.View()
	wait, known := c.tracker.TimeUntilAllLapsed(c.options.Now())
	next := &State{
		Self: c.self, Fleet: snapshot, Members: view, MembersVersion: c.rows.membersVersion,
		Config: c.config, ConfigVersion: c.rows.configVersion, InView: c.tracker.InView(), DepartedViewsExpired: known && wait == 0,
		Peers: c.copyPeers(), StoreReachable: c.storeReachable, StoreReadAt: c.storeReadAt,
	}
	// The traffic side is updated first: a drain query that finds the new revision
	// in the state relies on requests being routed by it.
	if c.fleetDirty {
		c.fleetDirty = false
		c.options.Traffic.SetView(snapshot, view, c.self)
	}
	c.state.Store(next)
}

// copyPeers returns the states of the peers, with the current suspicions.
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

// applyRows merges rows from the table service or a peer, and adopts the member
// view and the configuration if they are newer.
func (c *Controller) applyRows(revision store.Version, changed []store.Row) {
	before, beforeMembers := c.rows.revision, c.rows.membersVersion
	if revision < before && c.rows.hasOlderVersions(changed) {
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

// adoptView adopts the view in the members row if it is newer, and drops the state
// of peers whose incarnation has changed.
func (c *Controller) adoptView() {
	before := c.tracker.View()
	if !c.tracker.SetView(c.options.Now(), c.rows.members) {
		return
	}
	view := c.tracker.View()
	c.logViewChange(before, view)
	for id := range c.peers {
		// A new incarnation under the same ID has not confirmed anything yet.
		if incarnationIn(view, id) != incarnationIn(before, id) {
			delete(c.peers, id)
			delete(c.exchanges, id)
		}
	}
	c.options.Peers.SetMembers(view)
	c.options.OnMembers(view, c.self)
	c.markFleetDirty()
}

func (c *Controller) markFleetDirty() { c.dirty, c.fleetDirty = true, true }

// incarnationIn returns the incarnation of a member, or 0 when it is not in the view.
func incarnationIn(view fleet.MemberView, id fleet.MemberID) uint64 {
	for _, m := range view.Members {
		if m.ID == id {
			return m.Incarnation
		}
	}
	return 0
}
