package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"peridotcrank.dev/fleet"
)

// viewOf returns a view in which every member has incarnation 1.
func viewOf(version uint64, ids ...fleet.MemberID) fleet.MemberView {
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

// One member's suspicion must not be enough to evict.
func TestEvictionNeedsMajorityOfOthers(t *testing.T) {
	tracker := newTracker(t, "a", viewOf(5, "a", "b", "c", "d", "e"))
	now := time.Duration(0)
	hear := func(suspects ...fleet.MemberID) {
		for ; now < 3*time.Second; now += DefaultHeartbeatInterval {
			tracker.Heard(now, heartbeat("b", 5, suspects...))
			tracker.Heard(now, heartbeat("c", 5, suspects...))
			tracker.Heard(now, heartbeat("d", 5))
		}
	}
	hear()
	_, ok := tracker.EvictionCandidate(now)
	assert.Check(t, !ok, "one vote of four")
	assert.DeepEqual(t, tracker.Suspects(now), []fleet.MemberID{"e"})
	now = 0
	hear("e")
	candidate, ok := tracker.EvictionCandidate(now)
	assert.Check(t, ok && candidate.ID == "e", "three votes of four")
	tracker.Heard(now, heartbeat("c", 4, "e"))
	tracker.Heard(now, Heartbeat{Member: "b", Incarnation: 1, ViewVersion: 6, Suspects: []fleet.MemberID{"e"}})
	_, ok = tracker.EvictionCandidate(now)
	assert.Check(t, !ok, "b votes in another view")
}

// A process that was paused must not suspect peers for its own silence.
func TestPauseIsNoSilence(t *testing.T) {
	tracker := newTracker(t, "a", viewOf(1, "a", "b"))
	tracker.Heard(0, heartbeat("b", 1))
	assert.Check(t, is.Len(tracker.Suspects(time.Minute), 0))
	for now := time.Minute; now <= time.Minute+DefaultSuspectAfter; now += DefaultHeartbeatInterval {
		tracker.Tick(now)
	}
	assert.Check(t, is.Len(tracker.Suspects(time.Minute+DefaultSuspectAfter), 1))
}

// Heartbeats that waited in a buffer during a pause must not confirm the view,
// nor may a majority that holds a newer fleet revision or another view.
func TestConfirmationByPeers(t *testing.T) {
	const now = 10 * time.Second
	fresh := func() *Tracker {
		tracker := newTracker(t, "a", viewOf(7, "a", "b", "c"))
		tracker.Tick(now)
		return tracker
	}
	ack := func(tracker *Tracker, sentAt time.Duration, h Heartbeat) bool {
		tracker.Acknowledged(now, sentAt, h)
		return tracker.Valid(now)
	}
	tracker := fresh()
	tracker.Heard(now, heartbeat("b", 7))
	assert.Check(t, !tracker.Valid(now), "a received heartbeat")
	assert.Check(t, !ack(fresh(), now-DefaultValidFor, heartbeat("b", 7)), "sent before a pause")
	assert.Check(t, !ack(fresh(), now, heartbeat("b", 8)), "another view")
	assert.Check(t, !ack(fresh(), now, heartbeat("x", 7)), "no member")
	assert.Check(t, !ack(fresh(), now, Heartbeat{Member: "b", Incarnation: 1, ViewVersion: 7, FleetRevision: 3}), "newer fleet")
	tracker = fresh()
	assert.Check(t, ack(tracker, now-time.Second, heartbeat("b", 7)), "two of three")
	assert.Check(t, tracker.Valid(now+2*time.Second-1) && !tracker.Valid(now+2*time.Second), "counted from sending")
}

// A read confirms from its start, and only a view that holds this incarnation.
func TestConfirmationByStore(t *testing.T) {
	tracker := newTracker(t, "a", viewOf(1, "a", "b", "c"))
	tracker.ReadStore(time.Second, StoreRead{Started: 0, View: viewOf(1, "a", "b", "c")})
	assert.Check(t, tracker.Valid(DefaultValidFor-1) && !tracker.Valid(DefaultValidFor))
	tracker.ReadStore(time.Second, StoreRead{Started: time.Second, View: viewOf(2, "b", "c")})
	assert.Check(t, !tracker.Valid(time.Second), "evicted")
	rejoined := Join(viewOf(2, "b", "c"), fleet.Member{ID: "a"})
	tracker.SetView(time.Second, rejoined)
	assert.Check(t, !tracker.InView(), "the old incarnation is not the new one")
	tracker.SetIncarnation(3)
	tracker.ReadStore(time.Second, StoreRead{Started: time.Second, View: rejoined})
	assert.Check(t, tracker.Valid(time.Second))
}

// Writes must not touch a newer incarnation, and incarnations must increase
// even when the process lost all state.
func TestNextViews(t *testing.T) {
	view := Join(Join(fleet.MemberView{}, fleet.Member{ID: "b"}), fleet.Member{ID: "a"})
	assert.DeepEqual(t, view.Members, []fleet.Member{{ID: "a", Incarnation: 2}, {ID: "b", Incarnation: 1}})
	_, changed := Leave(view, "a", 1)
	assert.Check(t, !changed)
	next, changed := Evict(view, view.Members[1])
	assert.Check(t, changed && next.Version == 3 && len(next.Members) == 1 && len(view.Members) == 2)
}

// Neither an eviction nor a lapse may rest on a view that no majority holds: the
// others could still confirm the old view among themselves.
func TestLapseCountsFromSettledView(t *testing.T) {
	tracker := newTracker(t, "a", viewOf(1, "a", "b", "c", "d"))
	tracker.Heard(0, heartbeat("b", 1))
	tracker.Heard(0, heartbeat("c", 1))
	assert.Check(t, tracker.Settled())
	tracker.SetView(0, viewOf(2, "a", "b", "c"))
	_, known := tracker.WaitUntilLapsed(0, "d", 1)
	assert.Check(t, !known, "only this process holds the new view")
	tracker.Heard(time.Second, heartbeat("b", 2))
	wait, known := tracker.WaitUntilLapsed(time.Second, "d", 1)
	assert.Check(t, known && wait == DefaultValidFor, "wait %v", wait)
	tracker.SetView(time.Second, viewOf(4, "a", "b", "c"))
	_, known = tracker.WaitUntilAllLapsed(10 * time.Second)
	assert.Check(t, !known, "a member of version 3 may be unknown to this process")
	_, ok := tracker.EvictionCandidate(10 * time.Second)
	assert.Check(t, !ok, "the view is not settled")
}

// A second member that dies before its first heartbeat must not stay for ever.
func TestJoinedMemberCanBeEvicted(t *testing.T) {
	tracker := newTracker(t, "a", viewOf(1, "a"))
	tracker.SetView(0, Join(viewOf(1, "a"), fleet.Member{ID: "b"}))
	for now := time.Duration(0); now <= DefaultSuspectAfter; now += DefaultHeartbeatInterval {
		tracker.Tick(now)
	}
	candidate, ok := tracker.EvictionCandidate(DefaultSuspectAfter)
	assert.Check(t, ok && candidate.ID == "b")
}
