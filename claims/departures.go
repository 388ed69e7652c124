package claims

import (
	"time"

	"peridotcrank.dev/fleet"
)

// departure is a member that left the view without handing over.
type departure struct {
	zone fleet.ZoneID
	// at is when all remaining members were known to hold a view without it; no
	// claim of the member is older than ValidFor after it. Pending until then.
	at      time.Duration
	pending bool
}

// losses judges whether all holders of a claim may be gone. The holders of a
// claim span two availability zones, or two members where the view had only one
// zone, or one where it had only one member. Departures within the retention
// time count together, since copies are not made again after a departure.
type losses struct {
	retention   time.Duration
	departures  map[identity]departure
	oneMember   time.Duration // Until when claims held by a single member may matter.
	oneZone     time.Duration // Until when claims held in a single zone may matter.
	unsureUntil time.Duration // Until when claims may be missing at all members.
}

func newLosses(retention time.Duration) losses {
	return losses{retention: retention, departures: make(map[identity]departure)}
}

// noteView records how widely claims made in the view are spread.
func (l *losses) noteView(now time.Duration, v *view) {
	l.noteSpread(now, len(v.byID), v.zones)
}

func (l *losses) noteSpread(now time.Duration, members, zones int) {
	if members == 1 {
		l.oneMember = now + l.retention
	}
	if zones == 1 {
		l.oneZone = now + l.retention
	}
}

func (l *losses) depart(who identity, zone fleet.ZoneID) {
	l.departures[who] = departure{zone: zone, pending: true}
}

// learn takes in a departure that another member reports.
func (l *losses) learn(who identity, d departure) {
	if _, known := l.departures[who]; !known {
		l.departures[who] = d
	}
}

// settle is called when every member of the view has replied to a recovery.
func (l *losses) settle(now time.Duration) {
	for who, d := range l.departures {
		if d.pending {
			d.at, d.pending = now, false
			l.departures[who] = d
		}
		if d.at+l.retention < now {
			delete(l.departures, who)
		}
	}
	if l.oneMember > now {
		l.oneMember = now + l.retention
	}
	if l.oneZone > now {
		l.oneZone = now + l.retention
	}
	if lost, ok := l.lastLoss(now); ok {
		l.unsureUntil = max(l.unsureUntil, lost+l.retention)
	}
}

// lastLoss returns the latest time before which a claim may have been made whose
// holders have all departed. Of two holders, the earlier departure bounds it.
func (l *losses) lastLoss(now time.Duration) (last time.Duration, ok bool) {
	for a, first := range l.departures {
		for b, second := range l.departures {
			alone := a == b && now < l.oneMember
			together := a != b && (now < l.oneZone || first.zone != second.zone)
			if alone || together {
				last, ok = max(last, min(first.at, second.at)), true
			}
		}
	}
	return last, ok
}
