package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"peridotcrank.dev/fleet"
)

// newView returns a view in which all members have incarnation 1.
func newView(version uint64, ids ...fleet.MemberID) fleet.MemberView {
	view := fleet.MemberView{Version: version}
	for _, id := range ids {
		view.Members = append(view.Members, fleet.Member{ID: id, Incarnation: 1})
	}
	return view
}

func newTracker(t *testing.T, self fleet.MemberID, view fleet.MemberView) *Tracker {
	tracker, err := NewTracker(self, DefaultParams())
	assert.NilError(t, err)
	tracker.SetIncarnation(1)
	tracker.SetView(0, view)
	return tracker
}

func heartbeat(id fleet.MemberID, view uint64, suspects ...fleet.MemberID) Heartbeat {
	return Heartbeat{Member: id, Incarnation: 1, ViewVersion: view, Suspects: suspects}
}

// Guards against an eviction because of the suspicion of a single member, or of
// suspicions that members report in another view.
func TestEvictionNeedsMajorityOfOthers(t *testing.T) {
	tracker := newTracker(t, "a", newView(5, "a", "b", "c", "d", "e"))
	now := time.Duration(0)
	receiveHeartbeats := func(suspects ...fleet.MemberID) {
		for ; now < 3*time.Second; now += DefaultHeartbeatInterval {
			tracker.RecordHeartbeat(now, heartbeat("b", 5, suspects...))
			tracker.RecordHeartbeat(now, heartbeat("c", 5, suspects...))
			tracker.RecordHeartbeat(now, heartbeat("d", 5))
		}
	}
	receiveHeartbeats()
	_, ok := tracker.EvictionCandidate(now)
	assert.Check(t, !ok, "one vote of four")
	assert.DeepEqual(t, tracker.Suspects(now), []fleet.MemberID{"e"})
	now = 0
	receiveHeartbeats("e")
	candidate, ok := tracker.EvictionCandidate(now)
	assert.Check(t, ok && candidate.ID == "e", "three votes of four")
	tracker.RecordHeartbeat(now, heartbeat("c", 4, "e"))
	tracker.RecordHeartbeat(now, Heartbeat{Member: "b", Incarnation: 1, ViewVersion: 6, Suspects: []fleet.MemberID{"e"}})
	_, ok = tracker.EvictionCandidate(now)
	assert.Check(t, !ok, "b votes in another view")
}

// Guards against a process that suspects its peers after it was paused itself.
func TestPauseCausesNoSuspicion(t *testing.T) {
	tracker := newTracker(t, "a", newView(1, "a", "b"))
	tracker.RecordHeartbeat(0, heartbeat("b", 1))
	assert.Check(t, is.Len(tracker.Suspects(time.Minute), 0))
	for now := time.Minute; now <= time.Minute+DefaultSuspectAfter; now += DefaultHeartbeatInterval {
		tracker.Tick(now)
	}
	assert.Check(t, is.Len(tracker.Suspects(time.Minute+DefaultSuspectAfter), 1))
}

// Guards against a view that is confirmed by heartbeats that were buffered during a
// pause, or by members that hold another view or a newer fleet revision.
func TestConfirmationByPeers(t *testing.T) {
	const now = 10 * time.Second
	newIdleTracker := func() *Tracker {
		tracker := newTracker(t, "a", newView(7, "a", "b", "c"))
		tracker.Tick(now)
		return tracker
	}
	ack := func(tracker *Tracker, sentAt time.Duration, h Heartbeat) bool {
		tracker.RecordAcknowledgement(now, sentAt, h)
		return tracker.Valid(now)
	}
	tracker := newIdleTracker()
	tracker.RecordHeartbeat(now, heartbeat("b", 7))
	assert.Check(t, !tracker.Valid(now), "a received heartbeat")
	assert.Check(t, !ack(newIdleTracker(), now-DefaultValidFor, heartbeat("b", 7)), "sent before a pause")
	assert.Check(t, !ack(newIdleTracker(), now, heartbeat("b", 8)), "another view")
	assert.Check(t, !ack(newIdleTracker(), now, heartbeat("x", 7)), "no member")
	assert.Check(t, !ack(newIdleTracker(), now, Heartbeat{Member: "b", Incarnation: 1, ViewVersion: 7, FleetRevision: 3}), "newer fleet")
	tracker = newIdleTracker()
	assert.Check(t, ack(tracker, now-time.Second, heartbeat("b", 7)), "two of three")
	assert.Check(t, tracker.Valid(now+2*time.Second-1) && !tracker.Valid(now+2*time.Second), "counted from sending")
}

// Guards against a read that confirms the view from its end instead of its start, or
// that confirms a view without this incarnation.
func TestConfirmationByStore(t *testing.T) {
	tracker := newTracker(t, "a", newView(1, "a", "b", "c"))
	tracker.RecordStoreRead(time.Second, StoreRead{Started: 0, View: newView(1, "a", "b", "c")})
	assert.Check(t, tracker.Valid(DefaultValidFor-1) && !tracker.Valid(DefaultValidFor))
	tracker.RecordStoreRead(time.Second, StoreRead{Started: time.Second, View: newView(2, "b", "c")})
	assert.Check(t, !tracker.Valid(time.Second), "evicted")
	rejoined := Join(newView(2, "b", "c"), fleet.Member{ID: "a"})
	tracker.SetView(time.Second, rejoined)
	assert.Check(t, !tracker.InView(), "the old incarnation is not the new one")
	tracker.SetIncarnation(3)
	tracker.RecordStoreRead(time.Second, StoreRead{Started: time.Second, View: rejoined})
	assert.Check(t, tracker.Valid(time.Second))
}

// Guards against the removal of a newer incarnation, and against incarnations that
// do not increase when the process has lost its state.
func TestJoinAndLeaveVersions(t *testing.T) {
	view := Join(Join(fleet.MemberView{}, fleet.Member{ID: "b"}), fleet.Member{ID: "a"})
	assert.DeepEqual(t, view.Members, []fleet.Member{{ID: "a", Incarnation: 2}, {ID: "b", Incarnation: 1}})
	_, changed := Leave(view, "a", 1)
	assert.Check(t, !changed)
	next, changed := Evict(view, view.Members[1])
	assert.Check(t, changed && next.Version == 3 && len(next.Members) == 1 && len(view.Members) == 2)
}

// Guards against an eviction or a lapse that is based on a view which no majority
// holds: the other members could still confirm the old view.
func TestLapseStartsWhenMajorityHoldsView(t *testing.T) {
	tracker := newTracker(t, "a", newView(1, "a", "b", "c", "d"))
	tracker.RecordHeartbeat(0, heartbeat("b", 1))
	tracker.RecordHeartbeat(0, heartbeat("c", 1))
	assert.Check(t, tracker.ViewHeldByMajority())
	tracker.SetView(0, newView(2, "a", "b", "c"))
	_, known := tracker.TimeUntilLapsed(0, "d", 1)
	assert.Check(t, !known, "only this process holds the new view")
	tracker.RecordHeartbeat(time.Second, heartbeat("b", 2))
	wait, known := tracker.TimeUntilLapsed(time.Second, "d", 1)
	assert.Check(t, known && wait == DefaultValidFor, "wait %v", wait)
	tracker.SetView(time.Second, newView(4, "a", "b", "c"))
	_, known = tracker.TimeUntilAllLapsed(10 * time.Second)
	assert.Check(t, !known, "a member of version 3 may be unknown to this process")
	_, ok := tracker.EvictionCandidate(10 * time.Second)
	assert.Check(t, !ok, "no majority holds the view")
}

// Guards against a second member that is never evicted because it died before its
// first heartbeat.
func TestJoinedMemberCanBeEvicted(t *testing.T) {
	tracker := newTracker(t, "a", newView(1, "a"))
	tracker.SetView(0, Join(newView(1, "a"), fleet.Member{ID: "b"}))
	for now := time.Duration(0); now <= DefaultSuspectAfter; now += DefaultHeartbeatInterval {
		tracker.Tick(now)
	}
	candidate, ok := tracker.EvictionCandidate(DefaultSuspectAfter)
	assert.Check(t, ok && candidate.ID == "b")
}
