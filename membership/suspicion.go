package membership

import (
	"slices"
	"time"

	"peridotcrank.dev/fleet"
)

// Suspects returns the members that were silent for the suspicion timeout, in
// the order of the view. Heartbeats carry this list.
func (t *Tracker) Suspects(now time.Duration) []fleet.MemberID {
	t.advance(now)
	var suspects []fleet.MemberID
	for _, m := range t.view.Members {
		if who := identityOf(m); who != t.self && t.silent(now, who) {
			suspects = append(suspects, m.ID)
		}
	}
	return suspects
}

func (t *Tracker) silent(now time.Duration, who identity) bool {
	return now-t.reports[who].heardAt >= t.params.SuspectAfter
}

// EvictionCandidate returns a member to evict by a conditional write of
// Evict(View(), member). This process and a majority of the other members must
// suspect it, and the view must be settled.
func (t *Tracker) EvictionCandidate(now time.Duration) (fleet.Member, bool) {
	t.Tick(now)
	if !t.settled || !t.InView() {
		return fleet.Member{}, false
	}
	suspects := t.Suspects(now)
	for _, m := range t.view.Members {
		if slices.Contains(suspects, m.ID) && t.votes(now, m.ID) >= majority(len(t.view.Members)-1) {
			return m, true
		}
	}
	return fleet.Member{}, false
}

// votes counts the members that suspect the given one, this process included.
// The suspicions of a member count while it is heard itself and holds the same
// view, since a name may stand for another incarnation in another view.
func (t *Tracker) votes(now time.Duration, suspect fleet.MemberID) int {
	votes := 1
	for who, r := range t.reports {
		if who == t.self || who.id == suspect || t.silent(now, who) {
			continue
		}
		if r.last.ViewVersion == t.view.Version && slices.Contains(r.last.Suspects, suspect) {
			votes++
		}
	}
	return votes
}
