package membership

import (
	"time"

	"peridotcrank.dev/fleet"
)

// Heartbeat is the state that a member reports in a heartbeat or in a reply to one.
type Heartbeat struct {
	Member        fleet.MemberID
	Incarnation   uint64
	ViewVersion   uint64
	FleetRevision uint64
	Suspects      []fleet.MemberID
}

// StoreRead is the result of a successful read of the members row.
type StoreRead struct {
	// Started is the time at which the request was sent. The row may have
	// changed at any moment after it.
	Started time.Duration
	// View is the row that was read.
	View fleet.MemberView
}

// identity is one incarnation of a member.
type identity struct {
	id          fleet.MemberID
	incarnation uint64
}

func identityOf(m fleet.Member) identity { return identity{m.ID, m.Incarnation} }

// memberReport holds the latest heartbeat and acknowledgement of one member.
type memberReport struct {
	heardAt time.Duration
	latest  Heartbeat
	// sentAt is the time at which the newest acknowledged heartbeat was sent to the
	// member.
	sentAt          time.Duration
	acknowledged    bool
	acknowledgement Heartbeat
}

// Tracker holds the membership state of one process.
type Tracker struct {
	params   Params
	self     identity
	view     fleet.MemberView
	revision uint64 // Fleet revision that this process holds.
	lastCall time.Duration
	reports  map[identity]*memberReport

	confirmed   bool
	confirmedAt time.Duration

	heldByMajority bool // A majority of the view's members hold the view.
	departed       map[identity]lapse
	earlierLapse   lapse // Lapse of all members that left without this process having seen them in a view.
}

// NewTracker returns a tracker without a view.
func NewTracker(self fleet.MemberID, params Params) (*Tracker, error) {
	if err := params.Validate(); err != nil {
		return nil, err
	}
	return &Tracker{
		params: params, self: identity{id: self},
		reports: make(map[identity]*memberReport), departed: make(map[identity]lapse),
	}, nil
}

// SetIncarnation sets the incarnation with which this process has joined or tries
// to join. The view is not valid until a view with this incarnation is confirmed.
func (t *Tracker) SetIncarnation(incarnation uint64) {
	if t.self.incarnation != incarnation {
		t.self.incarnation = incarnation
		t.confirmed = false
	}
}

// View returns the newest view that this process holds.
func (t *Tracker) View() fleet.MemberView { return t.view }

// InView reports whether the view contains this incarnation of this process.
func (t *Tracker) InView() bool { return viewContains(t.view, t.self) }

// SetView adopts a view from any source, without confirming it. It ignores a view that
// is not newer than the current one. It reports whether the view changed.
func (t *Tracker) SetView(now time.Duration, view fleet.MemberView) bool {
	t.discountPause(now)
	if view.Version <= t.view.Version {
		return false
	}
	t.recordDepartures(view)
	t.view = view
	t.retainReports(now)
	t.heldByMajority = false
	t.confirmed = t.confirmed && t.InView()
	t.reevaluate(now)
	return true
}

// retainReports drops the reports of members that left. The suspicion timeout of new
// members starts now.
func (t *Tracker) retainReports(now time.Duration) {
	kept := make(map[identity]*memberReport, len(t.view.Members))
	for _, m := range t.view.Members {
		member := identityOf(m)
		if kept[member] = t.reports[member]; kept[member] == nil {
			kept[member] = &memberReport{heardAt: now}
		}
	}
	t.reports = kept
}

// SetFleetRevision records the fleet revision that this process holds. A lower
// revision than before is ignored.
func (t *Tracker) SetFleetRevision(now time.Duration, revision uint64) {
	t.discountPause(now)
	t.revision = max(t.revision, revision)
	t.reevaluate(now)
}

// RecordHeartbeat records a heartbeat of a member. It returns false when the view
// does not contain that incarnation; such a heartbeat must not be acknowledged.
func (t *Tracker) RecordHeartbeat(now time.Duration, h Heartbeat) bool {
	t.discountPause(now)
	report := t.reports[identity{h.Member, h.Incarnation}]
	if report == nil {
		return false
	}
	report.heardAt = now
	if h.ViewVersion >= report.latest.ViewVersion {
		report.latest = h
	}
	t.reevaluate(now)
	return true
}

// RecordAcknowledgement records a member's reply to a heartbeat that this process
// sent at sentAt. Only replies confirm the view, because a heartbeat that was
// buffered while this process was paused would look fresh.
func (t *Tracker) RecordAcknowledgement(now, sentAt time.Duration, h Heartbeat) {
	if !t.RecordHeartbeat(now, h) {
		return
	}
	report := t.reports[identity{h.Member, h.Incarnation}]
	if !report.acknowledged || sentAt >= report.sentAt {
		report.acknowledged, report.sentAt, report.acknowledgement = true, sentAt, h
	}
	t.reevaluate(now)
}

// Tick updates the tracker to the time now. Call it at least once per heartbeat
// interval.
func (t *Tracker) Tick(now time.Duration) {
	t.discountPause(now)
	t.reevaluate(now)
}

// discountPause detects a pause of this process and adds its length to the times of
// the members' last heartbeats, so that the pause does not count as silence.
func (t *Tracker) discountPause(now time.Duration) {
	if gap := now - t.lastCall; gap > t.params.PauseAfter {
		for _, r := range t.reports {
			r.heardAt += gap
		}
	}
	t.lastCall = max(t.lastCall, now)
}

// reevaluate updates whether a majority holds the view and whether peers confirm it.
func (t *Tracker) reevaluate(now time.Duration) {
	t.checkMajorityHoldsView(now)
	t.confirmByPeers(now)
}

func viewContains(view fleet.MemberView, member identity) bool {
	for _, m := range view.Members {
		if identityOf(m) == member {
			return true
		}
	}
	return false
}
