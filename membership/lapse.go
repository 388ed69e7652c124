package membership

import (
	"time"

	"peridotcrank.dev/fleet"
)

// lapse tells when the validity of a departed member ends.
type lapse struct {
	known bool // False until a view without the member is settled.
	at    time.Duration
}

// Settled reports whether a majority of the members of the current view are
// known to hold it. From then on, no group can confirm an older view by its
// majority: of the older view, which differs by one member, less than a
// majority is left. Evictions wait for it, so that a chain of evictions cannot
// shrink the view below a group that still confirms an older one.
func (t *Tracker) Settled() bool { return t.settled }

func (t *Tracker) settle(now time.Duration) {
	if t.settled || !t.InView() {
		return
	}
	holders := 1
	for who, r := range t.reports {
		// The member that joined with this version wrote it, and never held an older one.
		wrote := who.incarnation >= t.view.Version
		if who != t.self && (wrote || r.last.ViewVersion >= t.view.Version) {
			holders++
		}
	}
	if holders < majority(len(t.view.Members)) {
		return
	}
	t.settled = true
	t.startLapses(now + t.params.ValidFor)
}

// startLapses fixes the end of validity of all members that have left.
func (t *Tracker) startLapses(at time.Duration) {
	if !t.earlier.known {
		t.earlier = lapse{true, at}
	}
	for who, l := range t.departed {
		if !l.known {
			t.departed[who] = lapse{true, at}
		}
	}
}

// recordDepartures notes the members of the current view that next lacks.
// Members whose validity has lapsed are forgotten. After a gap in the versions,
// members that this process never saw may have come and gone.
func (t *Tracker) recordDepartures(next fleet.MemberView) {
	for who, l := range t.departed {
		if l.known && l.at < t.lastCall {
			delete(t.departed, who)
		}
	}
	if next.Version > t.view.Version+1 {
		t.earlier = lapse{}
	}
	for _, m := range t.view.Members {
		if !holds(next, identityOf(m)) {
			t.departed[identityOf(m)] = lapse{}
		}
	}
}

// WaitUntilLapsed returns the time until the validity of an incarnation that is
// no longer in the view has certainly lapsed: ValidFor after a majority was
// known to hold a view without it. Zero means that it has lapsed. It returns
// false while that time cannot be told or the member is in the view.
func (t *Tracker) WaitUntilLapsed(now time.Duration, id fleet.MemberID, incarnation uint64) (time.Duration, bool) {
	t.Tick(now)
	who := identity{id, incarnation}
	if holds(t.view, who) {
		return 0, false
	}
	l, ok := t.departed[who]
	if !ok {
		l = t.earlier
	}
	return max(0, l.at-now), l.known
}

// WaitUntilAllLapsed is WaitUntilLapsed for every member that ever left,
// including those that left before this process joined.
func (t *Tracker) WaitUntilAllLapsed(now time.Duration) (time.Duration, bool) {
	t.Tick(now)
	wait, known := max(0, t.earlier.at-now), t.earlier.known
	for _, l := range t.departed {
		wait, known = max(wait, l.at-now), known && l.known
	}
	return wait, known
}
