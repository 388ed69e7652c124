package claims

import (
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// receiveRecovery answers with one page of the records of keys that the asking
// member owns in the view. In another view it answers without records; the
// asking member repeats the question.
func (s *Service) receiveRecovery(m *peerpb.ClaimRecovery) *peerpb.ClaimRecoveryReply {
	now := s.lock()
	defer s.mu.Unlock()
	reply := &peerpb.ClaimRecoveryReply{}
	if s.view == nil {
		return reply
	}
	reply.ViewVersion = s.view.version
	member, known := s.view.byID[fleet.MemberID(m.GetMember())]
	if !known || s.view.version != m.GetViewVersion() || !s.view.holds(s.self) {
		reply.ViewVersion = 0
		return reply
	}
	keys := s.keysOwnedBy(member.ID)
	first := min(int(m.GetPage())*s.config.PageSize, len(keys))
	last := min(first+s.config.PageSize, len(keys))
	for _, key := range keys[first:last] {
		if r := s.table.records[key]; r != nil && r.state != stateAbandoned {
			reply.Records = append(reply.Records, wireRecord(key, *r, now-r.createdAt))
		}
	}
	reply.Informed = s.informed
	reply.More = last < len(keys)
	s.losses.describe(now, s.view, reply)
	return reply
}

// keysOwnedBy returns the keys that a member asks for in recovery. The lists of
// all members are made once per view, so that pages fit together when a request
// is repeated. Claims made later are put to that member anyway.
func (s *Service) keysOwnedBy(member fleet.MemberID) []string {
	if s.exports == nil {
		s.exports = make(map[fleet.MemberID][]string)
		for key, r := range s.table.records {
			if r.state != stateAbandoned {
				owner := s.view.ranking.owner(r.hash)
				s.exports[owner] = append(s.exports[owner], key)
			}
		}
	}
	return s.exports[member]
}

// describe adds what the asking member needs to judge losses.
func (l *losses) describe(now time.Duration, v *view, reply *peerpb.ClaimRecoveryReply) {
	for who, d := range l.departures {
		wire := &peerpb.ClaimDeparture{Member: string(who.id), Incarnation: who.incarnation, Zone: string(d.zone)}
		if !d.pending {
			wire.AgeMs = milliseconds(now - d.at)
		}
		reply.Departures = append(reply.Departures, wire)
	}
	reply.FewestMembers, reply.FewestZones = uint32(len(v.byID)), uint32(v.zones)
	if now < l.oneMember {
		reply.FewestMembers = 1
	}
	if now < l.oneZone {
		reply.FewestZones = 1
	}
	reply.UnsureMs = milliseconds(l.unsureUntil - now)
}
