package membership

import (
	"cmp"
	"slices"

	"peridotcrank.dev/fleet"
)

// Join returns the view to write for a process that joins. The new incarnation
// is the version of the new view, so that it exceeds every earlier incarnation
// of the member, even when the process kept no state. An older entry with the same
// ID is replaced, because its process must have ended.
func Join(view fleet.MemberView, member fleet.Member) fleet.MemberView {
	next := nextViewWithout(view, func(m fleet.Member) bool { return m.ID == member.ID })
	member.Incarnation = next.Version
	next.Members = append(next.Members, member)
	slices.SortFunc(next.Members, func(a, b fleet.Member) int { return cmp.Compare(a.ID, b.ID) })
	return next
}

// Leave returns the view to write for a process that stops. It returns false
// when the view does not contain that incarnation and needs no change.
func Leave(view fleet.MemberView, id fleet.MemberID, incarnation uint64) (fleet.MemberView, bool) {
	next := nextViewWithout(view, func(m fleet.Member) bool { return m.ID == id && m.Incarnation == incarnation })
	return next, len(next.Members) < len(view.Members)
}

// Evict returns the view to write to evict a member. Only one member is evicted
// per version; see Tracker.ViewHeldByMajority.
func Evict(view fleet.MemberView, member fleet.Member) (fleet.MemberView, bool) {
	return Leave(view, member.ID, member.Incarnation)
}

// nextViewWithout returns the next version of the view, without the members for
// which remove returns true.
func nextViewWithout(view fleet.MemberView, remove func(fleet.Member) bool) fleet.MemberView {
	return fleet.MemberView{
		Version: view.Version + 1,
		Members: slices.DeleteFunc(slices.Clone(view.Members), remove),
	}
}

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }
