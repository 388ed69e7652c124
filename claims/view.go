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

// view is a member view with its ranking of members and its number of zones.
type view struct {
	version    uint64
	ranking    *rendezvous
	byID       map[fleet.MemberID]fleet.Member
	zones      int
	supersedAt time.Duration // Time at which a newer view was adopted; set on former views.
	// gap is set if the views between the previously adopted one and this one are
	// not known.
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

// without returns the view without one member, with the given version.
func (v *view) without(id fleet.MemberID, version uint64) *view {
	var members []fleet.Member
	for _, m := range v.ranking.members {
		if m.ID != id {
			members = append(members, m)
		}
	}
	return newView(version, members)
}

// contains reports whether this incarnation of the member is in the view.
func (v *view) contains(ident identity) bool {
	m, ok := v.byID[ident.id]
	return ok && m.Incarnation == ident.incarnation
}

// intersect returns a view of the members that are in both v and next. No view that
// was in force between the two can have been smaller.
func (v *view) intersect(next *view) *view {
	var members []fleet.Member
	for _, m := range v.ranking.members {
		if next.contains(identity{m.ID, m.Incarnation}) {
			members = append(members, m)
		}
	}
	return newView(v.version, members)
}

// contiguousWith reports whether the differences from the former view are the only
// changes between the two. Each version changes one member, so the number of changed
// members then equals the number of versions. A member that owns a key in both views
// then also owned it in all views between them.
func (v *view) contiguousWith(former *view) bool {
	if v.version == former.version+1 {
		return true
	}
	changes := uint64(0)
	for id, m := range former.byID {
		switch later, stays := v.byID[id]; {
		case !stays:
			changes++
		case later.Incarnation != m.Incarnation:
			return false // This may be one change or two.
		}
	}
	for id := range v.byID {
		if _, known := former.byID[id]; !known {
			changes++
		}
	}
	return changes == v.version-former.version
}

// needsExtraCopy reports whether a claim needs a copy besides the records of the
// owner and the dispatcher. The holders of a claim must be in two availability zones
// if the view has at least two, and must be two members otherwise.
func (v *view) needsExtraCopy(owner, dispatcher fleet.MemberID) bool {
	if v.zones > 1 {
		return v.byID[owner].Zone == v.byID[dispatcher].Zone
	}
	return owner == dispatcher && len(v.byID) > 1
}

// extraCopyHolder returns the highest ranked member that can store an extra copy and
// has not been tried yet, or "" if there is none.
func (v *view) extraCopyHolder(keyHash uint64, owner fleet.MemberID, tried ...fleet.MemberID) fleet.MemberID {
	zone := v.byID[owner].Zone
	best := v.ranking.highestRanked(keyHash, func(m fleet.Member) bool {
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
