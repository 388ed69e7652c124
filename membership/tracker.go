package membership

import (
	"time"

	"peridotcrank.dev/fleet"
)

// Heartbeat is what a member says about itself, in a heartbeat or in its reply to one.
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

// report is the latest knowledge of one member.
type report struct {
	heardAt time.Duration
	last    Heartbeat
	// sentAt is when the newest acknowledged heartbeat to the member was sent.
	sentAt       time.Duration
	acknowledged bool
	ack          Heartbeat
}

// Tracker holds the membership state of one process.
type Tracker struct {
	params   Params
	self     identity
	view     fleet.MemberView
	revision uint64 // Fleet revision that this process holds.
	lastCall time.Duration
	reports  map[identity]*report

	confirmed   bool
	confirmedAt time.Duration

	settled  bool // A majority of the view's members hold the view.
	departed map[identity]lapse
	earlier  lapse // Members that left before this process held its first view.
}

// NewTracker returns a tracker without a view.
func NewTracker(self fleet.MemberID, params Params) (*Tracker, error) {
	if err := params.Validate(); err != nil {
		return nil, err
	}
	return &Tracker{
		params: params, self: identity{id: self},
		reports: make(map[identity]*report), departed: make(map[identity]lapse),
	}, nil
}

// SetIncarnation names the incarnation under which this process has joined or
// tries to join. The view is not valid until it is confirmed to hold it.
func (t *Tracker) SetIncarnation(incarnation uint64) {
	if t.self.incarnation != incarnation {
		t.self.incarnation = incarnation
		t.confirmed = false
	}
}

// View returns the newest view that this process holds.
func (t *Tracker) View() fleet.MemberView { return t.view }

// InView reports whether the view holds this incarnation of this process.
func (t *Tracker) InView() bool { return holds(t.view, t.self) }

// SetView adopts a view from any source. It does not confirm it. An older view
// is ignored. It reports whether the view changed.
func (t *Tracker) SetView(now time.Duration, view fleet.MemberView) bool {
	t.advance(now)
	if view.Version <= t.view.Version {
		return false
	}
	t.recordDepartures(view)
	t.view = view
	t.keepReports(now)
	t.settled = false
	t.confirmed = t.confirmed && t.InView()
	t.update(now)
	return true
}

// keepReports drops members that left and gives new ones the full suspicion
// timeout to be heard.
func (t *Tracker) keepReports(now time.Duration) {
	kept := make(map[identity]*report, len(t.view.Members))
	for _, m := range t.view.Members {
		who := identityOf(m)
		if kept[who] = t.reports[who]; kept[who] == nil {
			kept[who] = &report{heardAt: now}
		}
	}
	t.reports = kept
}

// SetFleetRevision tells which fleet revision this process holds.
func (t *Tracker) SetFleetRevision(now time.Duration, revision uint64) {
	t.advance(now)
	t.revision = max(t.revision, revision)
	t.update(now)
}

// Heard takes in a heartbeat of a member. It returns false when the view does
// not hold that incarnation; such a heartbeat must not be acknowledged.
func (t *Tracker) Heard(now time.Duration, h Heartbeat) bool {
	t.advance(now)
	known := t.reports[identity{h.Member, h.Incarnation}]
	if known == nil {
		return false
	}
	known.heardAt = now
	if h.ViewVersion >= known.last.ViewVersion {
		known.last = h
	}
	t.update(now)
	return true
}

// Acknowledged takes in a member's reply to a heartbeat that this process sent
// at sentAt. Only replies confirm the view: a heartbeat that waited in a buffer
// while this process was paused would look fresh.
func (t *Tracker) Acknowledged(now, sentAt time.Duration, h Heartbeat) {
	if !t.Heard(now, h) {
		return
	}
	known := t.reports[identity{h.Member, h.Incarnation}]
	if !known.acknowledged || sentAt >= known.sentAt {
		known.acknowledged, known.sentAt, known.ack = true, sentAt, h
	}
	t.update(now)
}

// Tick lets time pass. Call it at least once per heartbeat interval.
func (t *Tracker) Tick(now time.Duration) {
	t.advance(now)
	t.update(now)
}

// advance moves the times at which members were heard past a pause of this process.
func (t *Tracker) advance(now time.Duration) {
	if gap := now - t.lastCall; gap > t.params.PauseAfter {
		for _, r := range t.reports {
			r.heardAt += gap
		}
	}
	t.lastCall = max(t.lastCall, now)
}

func (t *Tracker) update(now time.Duration) {
	t.settle(now)
	t.confirmByPeers(now)
}

func holds(view fleet.MemberView, who identity) bool {
	for _, m := range view.Members {
		if identityOf(m) == who {
			return true
		}
	}
	return false
}
