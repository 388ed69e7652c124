package claims

import (
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// receiveRecovery returns one page of the records of keys that the requesting member
// owns in the view. If the views differ, the reply has no records, and the member
// repeats the request.
func (s *Service) receiveRecovery(m *peerpb.ClaimRecovery) *peerpb.ClaimRecoveryReply {
	now := s.lockAndSweep()
	defer s.mu.Unlock()
	reply := &peerpb.ClaimRecoveryReply{}
	if s.view == nil {
		return reply
	}
	reply.ViewVersion = s.view.version
	member, known := s.view.byID[fleet.MemberID(m.GetMember())]
	if !known || s.view.version != m.GetViewVersion() || !s.view.contains(s.self) {
		reply.ViewVersion = 0
		return reply
	}
	keys := s.keysOwnedBy(member.ID)
	first := min(int(m.GetPage())*s.config.PageSize, len(keys))
	last := min(first+s.config.PageSize, len(keys))
	for _, key := range keys[first:last] {
		if r := s.table.records[key]; r != nil && r.state != stateAbandoned {
			reply.Records = append(reply.Records, recordToWire(key, *r, now-r.createdAt))
		}
	}
	reply.Informed = s.informed
	reply.More = last < len(keys)
	s.lossTracker.addToReply(now, s.view, reply)
	return reply
}

// keysOwnedBy returns the keys of the records that a member requests in its recovery.
// The lists of all members are built once per view, so that pages stay consistent when a
// request is repeated. The lists need no claims made later in the view, because these
// are requested from the owner itself.
func (s *Service) keysOwnedBy(member fleet.MemberID) []string {
	if s.keysByOwner == nil {
		s.keysByOwner = make(map[fleet.MemberID][]string)
		for key, r := range s.table.records {
			if r.state != stateAbandoned {
				owner := s.view.ranking.owner(r.hash)
				s.keysByOwner[owner] = append(s.keysByOwner[owner], key)
			}
		}
	}
	return s.keysByOwner[member]
}

// addToReply adds the departures, the smallest numbers of members and zones, and the
// time for which claims may be missing, which the requesting member needs for its own
// lossTracker.
func (l *lossTracker) addToReply(now time.Duration, v *view, reply *peerpb.ClaimRecoveryReply) {
	for ident, d := range l.departures {
		wire := &peerpb.ClaimDeparture{Member: string(ident.id), Incarnation: ident.incarnation, Zone: string(d.zone)}
		if !d.pending {
			wire.AgeMs = milliseconds(now - d.confirmedAt)
		}
		reply.Departures = append(reply.Departures, wire)
	}
	reply.FewestMembers, reply.FewestZones = uint32(len(v.byID)), uint32(v.zones)
	if now < l.singleMemberUntil {
		reply.FewestMembers = 1
	}
	if now < l.singleZoneUntil {
		reply.FewestZones = 1
	}
	reply.UnsureMs = milliseconds(l.uncertainUntil - now)
}
