package membership

import (
	"slices"
	"time"

	"peridotcrank.dev/fleet"
)

// Suspects returns the members that have sent no heartbeat for SuspectAfter, in the
// order of the view. Heartbeats carry this list.
func (t *Tracker) Suspects(now time.Duration) []fleet.MemberID {
	t.discountPause(now)
	var suspects []fleet.MemberID
	for _, m := range t.view.Members {
		if member := identityOf(m); member != t.self && t.isSilent(now, member) {
			suspects = append(suspects, m.ID)
		}
	}
	return suspects
}

func (t *Tracker) isSilent(now time.Duration, member identity) bool {
	return now-t.reports[member].heardAt >= t.params.SuspectAfter
}

// EvictionCandidate returns a member to evict by a conditional write of
// Evict(View(), member). A majority of the members other than the candidate, among
// them this process, must suspect it, and a majority must hold the view.
func (t *Tracker) EvictionCandidate(now time.Duration) (fleet.Member, bool) {
	t.Tick(now)
	if !t.heldByMajority || !t.InView() {
		return fleet.Member{}, false
	}
	suspects := t.Suspects(now)
	for _, m := range t.view.Members {
		if slices.Contains(suspects, m.ID) && t.countVotes(now, m.ID) >= majority(len(t.view.Members)-1) {
			return m, true
		}
	}
	return fleet.Member{}, false
}

// countVotes counts the members that suspect the given one, including this process.
// The suspicions of a member count only while it sends heartbeats itself and holds
// the same view, because an ID may denote another incarnation in another view.
func (t *Tracker) countVotes(now time.Duration, suspect fleet.MemberID) int {
	votes := 1
	for member, r := range t.reports {
		if member == t.self || member.id == suspect || t.isSilent(now, member) {
			continue
		}
		if r.latest.ViewVersion == t.view.Version && slices.Contains(r.latest.Suspects, suspect) {
			votes++
		}
	}
	return votes
}
