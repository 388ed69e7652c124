package claims

import (
	"time"

	"peridotcrank.dev/fleet"
)

// departure describes a member that left the view without a handover.
type departure struct {
	zone fleet.ZoneID
	// confirmedAt is the time at which all remaining members were known to have a
	// view without the member. The member makes no claim later than ValidFor after
	// it. Until then the departure is pending.
	confirmedAt time.Duration
	pending     bool
}

// lossTracker determines whether all holders of a claim may have left. The holders of
// a claim are in two availability zones, or are two members if the view had only one
// zone, or one member if the view had only one member. Departures within the
// retention time add up, because copies are not replaced after a departure.
type lossTracker struct {
	retention         time.Duration
	departures        map[identity]departure
	singleMemberUntil time.Duration // Until then, claims held by a single member may be relevant.
	singleZoneUntil   time.Duration // Until then, claims held in a single zone may be relevant.
	uncertainUntil    time.Duration // Until then, claims may be missing at all members.
}

func newLossTracker(retention time.Duration) lossTracker {
	return lossTracker{retention: retention, departures: make(map[identity]departure)}
}

// recordView records whether claims made in the view are held by a single member or in
// a single zone.
func (l *lossTracker) recordView(now time.Duration, v *view) {
	l.recordSpread(now, len(v.byID), v.zones)
}

// recordSpread extends the times for which claims with a single member or in a single
// zone are relevant.
func (l *lossTracker) recordSpread(now time.Duration, members, zones int) {
	if members == 1 {
		l.singleMemberUntil = now + l.retention
	}
	if zones == 1 {
		l.singleZoneUntil = now + l.retention
	}
}

// addDeparture adds a pending departure.
func (l *lossTracker) addDeparture(ident identity, zone fleet.ZoneID) {
	l.departures[ident] = departure{zone: zone, pending: true}
}

// addReportedDeparture adds a departure that another member reported, unless it is
// already known.
func (l *lossTracker) addReportedDeparture(ident identity, d departure) {
	if _, known := l.departures[ident]; !known {
		l.departures[ident] = d
	}
}

// onRecoveryComplete is called when every member of the view has replied to a recovery.
// It confirms the pending departures, removes those older than the retention time, and
// extends the time for which claims may be missing.
func (l *lossTracker) onRecoveryComplete(now time.Duration) {
	for ident, d := range l.departures {
		if d.pending {
			d.confirmedAt, d.pending = now, false
			l.departures[ident] = d
		}
		if d.confirmedAt+l.retention < now {
			delete(l.departures, ident)
		}
	}
	if l.singleMemberUntil > now {
		l.singleMemberUntil = now + l.retention
	}
	if l.singleZoneUntil > now {
		l.singleZoneUntil = now + l.retention
	}
	if lost, ok := l.latestPossibleLoss(now); ok {
		l.uncertainUntil = max(l.uncertainUntil, lost+l.retention)
	}
}

// latestPossibleLoss returns the latest time before which a claim may have been made
// whose holders have all left. With two holders, this is the earlier departure. ok is
// false if no claim can have been lost.
func (l *lossTracker) latestPossibleLoss(now time.Duration) (last time.Duration, ok bool) {
	for a, first := range l.departures {
		for b, second := range l.departures {
			alone := a == b && now < l.singleMemberUntil
			together := a != b && (now < l.singleZoneUntil || first.zone != second.zone)
			if alone || together {
				last, ok = max(last, min(first.confirmedAt, second.confirmedAt)), true
			}
		}
	}
	return last, ok
}
