package membership

import (
	"time"

	"peridotcrank.dev/fleet"
)

// expiry is the time at which the view of a departed member has certainly become
// invalid.
type expiry struct {
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
// view. The validity of departed members then expires after ValidFor.
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
	t.setExpiryTimes(now + t.params.ValidFor)
}

// setExpiryTimes sets the end of validity of the departed members without one.
func (t *Tracker) setExpiryTimes(at time.Duration) {
	if !t.earlierExpiry.known {
		t.earlierExpiry = expiry{true, at}
	}
	for member, l := range t.departed {
		if !l.known {
			t.departed[member] = expiry{true, at}
		}
	}
}

// recordDepartures records the members of the current view that are not in next,
// and drops those whose validity has expired. After a gap in the versions, members
// that this process never saw may have joined and left.
func (t *Tracker) recordDepartures(next fleet.MemberView) {
	for member, l := range t.departed {
		if l.known && l.at < t.lastCall {
			delete(t.departed, member)
		}
	}
	if next.Version > t.view.Version+1 {
		t.earlierExpiry = expiry{}
	}
	for _, m := range t.view.Members {
		if !viewContains(next, identityOf(m)) {
			t.departed[identityOf(m)] = expiry{}
		}
	}
}

// TimeUntilExpired returns the time until the validity of an incarnation that is
// no longer in the view has certainly expired, which is ValidFor after a majority
// was known to hold a view without it. Zero means that it has expired. It returns
// false while that time is unknown or the member is in the view.
func (t *Tracker) TimeUntilExpired(now time.Duration, id fleet.MemberID, incarnation uint64) (time.Duration, bool) {
	t.Tick(now)
	member := identity{id, incarnation}
	if viewContains(t.view, member) {
		return 0, false
	}
	l, ok := t.departed[member]
	if !ok {
		l = t.earlierExpiry
	}
	return max(0, l.at-now), l.known
}

// TimeUntilAllExpired returns the longest TimeUntilExpired of all members that have
// left, including those that left before this process joined.
func (t *Tracker) TimeUntilAllExpired(now time.Duration) (time.Duration, bool) {
	t.Tick(now)
	wait, known := max(0, t.earlierExpiry.at-now), t.earlierExpiry.known
	for _, l := range t.departed {
		wait, known = max(wait, l.at-now), known && l.known
	}
	return wait, known
}
