package membership

import (
	"time"

	"peridotcrank.dev/fleet"
)

// lapse is the time at which the view of a departed member has certainly become
// invalid.
type lapse struct {
	known bool // False until a majority holds a view without the member.
	at    time.Duration
}

// ViewHeldByMajority reports whether a majority of the members in the current view
// is known to hold it. From then on, no group of members can confirm an older view:
// the older view differs by one member, so less than a majority of it is left.
// Evictions wait until then, so that a series of evictions cannot shrink the view
// below a group that still confirms an older one.
func (t *Tracker) ViewHeldByMajority() bool { return t.heldByMajority }

// checkMajorityHoldsView sets heldByMajority once a majority is known to hold the
// view. The validity of departed members then lapses after ValidFor.
func (t *Tracker) checkMajorityHoldsView(now time.Duration) {
	if t.heldByMajority || !t.InView() {
		return
	}
	holders := 1
	for member, r := range t.reports {
		// The member that joined with this version wrote it and never held an older one.
		wrote := member.incarnation >= t.view.Version
		if member != t.self && (wrote || r.latest.ViewVersion >= t.view.Version) {
			holders++
		}
	}
	if holders < majority(len(t.view.Members)) {
		return
	}
	t.heldByMajority = true
	t.setLapseTimes(now + t.params.ValidFor)
}

// setLapseTimes sets the end of validity of the departed members without one.
func (t *Tracker) setLapseTimes(at time.Duration) {
	if !t.earlierLapse.known {
		t.earlierLapse = lapse{true, at}
	}
	for member, l := range t.departed {
		if !l.known {
			t.departed[member] = lapse{true, at}
		}
	}
}

// recordDepartures records the members of the current view that are not in next,
// and drops those whose validity has lapsed. After a gap in the versions, members
// that this process never saw may have joined and left.
func (t *Tracker) recordDepartures(next fleet.MemberView) {
	for member, l := range t.departed {
		if l.known && l.at < t.lastCall {
			delete(t.departed, member)
		}
	}
	if next.Version > t.view.Version+1 {
		t.earlierLapse = lapse{}
	}
	for _, m := range t.view.Members {
		if !viewContains(next, identityOf(m)) {
			t.departed[identityOf(m)] = lapse{}
		}
	}
}

// TimeUntilLapsed returns the time until the validity of an incarnation that is
// no longer in the view has certainly lapsed, which is ValidFor after a majority
// was known to hold a view without it. Zero means that it has lapsed. It returns
// false while that time is unknown or the member is in the view.
func (t *Tracker) TimeUntilLapsed(now time.Duration, id fleet.MemberID, incarnation uint64) (time.Duration, bool) {
	t.Tick(now)
	member := identity{id, incarnation}
	if viewContains(t.view, member) {
		return 0, false
	}
	l, ok := t.departed[member]
	if !ok {
		l = t.earlierLapse
	}
	return max(0, l.at-now), l.known
}

// TimeUntilAllLapsed returns the longest TimeUntilLapsed of all members that have
// left, including those that left before this process joined.
func (t *Tracker) TimeUntilAllLapsed(now time.Duration) (time.Duration, bool) {
	t.Tick(now)
	wait, known := max(0, t.earlierLapse.at-now), t.earlierLapse.known
	for _, l := range t.departed {
		wait, known = max(wait, l.at-now), known && l.known
	}
	return wait, known
}
