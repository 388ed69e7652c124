package claims

import (
	"slices"
	"time"

	"peridotcrank.dev/fleet"
)

// identity is one incarnation of a member.
type identity struct {
	id          fleet.MemberID
	incarnation uint64
}

// view is a member view with what is derived from it.
type view struct {
	version    uint64
	ranking    *rendezvous
	byID       map[fleet.MemberID]fleet.Member
	zones      int
	supersedAt time.Duration // When a newer view was adopted; set on former views.
	// gap is set when views between the former one and this one are unknown.
	gap bool
}

func newView(version uint64, members []fleet.Member) *view {
	v := &view{version: version, ranking: newRendezvous(members), byID: make(map[fleet.MemberID]fleet.Member, len(members))}
	zones := make(map[fleet.ZoneID]struct{})
	for _, m := range members {
		v.byID[m.ID] = m
		zones[m.Zone] = struct{}{}
	}
	v.zones = len(zones)
	return v
}

// without returns the view that lacks one member, under the given version.
func (v *view) without(id fleet.MemberID, version uint64) *view {
	var members []fleet.Member
	for _, m := range v.ranking.members {
		if m.ID != id {
			members = append(members, m)
		}
	}
	return newView(version, members)
}

func (v *view) holds(who identity) bool {
	m, ok := v.byID[who.id]
	return ok && m.Incarnation == who.incarnation
}

// common returns the members that v and next share: the smallest view that may
// have been in force between the two.
func (v *view) common(next *view) *view {
	var members []fleet.Member
	for _, m := range v.ranking.members {
		if next.holds(identity{m.ID, m.Incarnation}) {
			members = append(members, m)
		}
	}
	return newView(v.version, members)
}

// explainedBy reports whether the differences from the former view are all
// changes between the two: each version changes one member. The views in between
// then hold a part of the members of both, so that a member which owns a key in
// both owned it throughout.
func (v *view) explainedBy(former *view) bool {
	if v.version == former.version+1 {
		return true
	}
	changes := uint64(0)
	for id, m := range former.byID {
		switch later, stays := v.byID[id]; {
		case !stays:
			changes++
		case later.Incarnation != m.Incarnation:
			return false // One change or two.
		}
	}
	for id := range v.byID {
		if _, known := former.byID[id]; !known {
			changes++
		}
	}
	return changes == v.version-former.version
}

// needsFurtherHolder reports whether a copy is needed besides those of the owner
// and the dispatcher: copies span two availability zones where the view has two,
// and two members otherwise.
func (v *view) needsFurtherHolder(owner, dispatcher fleet.MemberID) bool {
	if v.zones > 1 {
		return v.byID[owner].Zone == v.byID[dispatcher].Zone
	}
	return owner == dispatcher && len(v.byID) > 1
}

// furtherHolder returns the highest ranked member that may store such a copy,
// except those already tried, or "".
func (v *view) furtherHolder(keyHash uint64, owner fleet.MemberID, tried ...fleet.MemberID) fleet.MemberID {
	zone := v.byID[owner].Zone
	best := v.ranking.first(keyHash, func(m fleet.Member) bool {
		if v.zones > 1 && m.Zone == zone || m.ID == owner {
			return false
		}
		return !slices.Contains(tried, m.ID)
	})
	if best == nil {
		return ""
	}
	return best.ID
}
