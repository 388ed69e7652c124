package claims

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// Receive answers a message of another member. from is the member that the
// session belongs to; nobody claims in the name of another.
func (s *Service) Receive(from fleet.MemberID, message proto.Message) (proto.Message, error) {
	if named := namedMember(message); named != string(from) {
		return nil, fmt.Errorf("%w: %q from %s", ErrWrongSender, named, from)
	}
	switch m := message.(type) {
	case *peerpb.Claim:
		return s.receiveClaim(m), nil
	case *peerpb.ClaimBackup:
		return s.receiveCopy(m), nil
	case *peerpb.ClaimRelease:
		s.receiveRelease(m)
		return nil, nil
	case *peerpb.ClaimRecovery:
		return s.receiveRecovery(m), nil
	case *peerpb.ClaimHandover:
		return s.receiveHandover(m), nil
	default:
		return nil, fmt.Errorf("%w: %T", ErrUnexpected, message)
	}
}

func namedMember(message proto.Message) string {
	switch m := message.(type) {
	case interface{ GetMember() string }:
		return m.GetMember()
	case interface{ GetRecord() *peerpb.ClaimRecord }:
		return m.GetRecord().GetMember()
	default:
		return ""
	}
}

// answer is called with s.mu held.
func (s *Service) answer(verdict peerpb.ClaimReply_Verdict) *peerpb.ClaimReply {
	reply := &peerpb.ClaimReply{Verdict: verdict}
	if s.view != nil {
		reply.ViewVersion = s.view.version
	}
	return reply
}

// differs reports whether a claim of the given view must wait: the views differ,
// one of the two processes is not in the view, or this one is about to leave it.
// A claim of a process outside the view would be left out of recoveries.
func (s *Service) differs(version uint64, claimant identity) bool {
	return s.view == nil || s.view.version != version || s.leaving ||
		!s.view.holds(s.self) || !s.view.holds(claimant)
}

func (s *Service) receiveClaim(m *peerpb.Claim) *peerpb.ClaimReply {
	now := s.lock()
	defer s.mu.Unlock()
	hash := hashKey(m.GetKey())
	claim := record{
		holder: holder{identity{fleet.MemberID(m.GetMember()), m.GetIncarnation()}, m.GetSequence()},
		hash:   hash, createdAt: now,
	}
	if s.differs(m.GetViewVersion(), claim.identity) || s.view.ranking.owner(hash) != s.self.id {
		return s.answer(peerpb.ClaimReply_VERDICT_WRONG_VIEW)
	}
	if !s.config.Valid() || len(m.GetKey()) > MaxKeyLength {
		return s.answer(peerpb.ClaimReply_VERDICT_UNKNOWN)
	}
	existing := s.table.records[m.GetKey()]
	switch {
	case existing != nil && !replaceable(existing, claim.holder, m.GetReclaim()):
		return s.answer(peerpb.ClaimReply_VERDICT_SEEN)
	case !s.certain(now, hash):
		return s.answer(peerpb.ClaimReply_VERDICT_UNKNOWN)
	case existing == nil && s.table.full():
		return s.answer(peerpb.ClaimReply_VERDICT_FULL)
	}
	s.table.put(m.GetKey(), claim)
	return s.answer(peerpb.ClaimReply_VERDICT_FRESH)
}

// replaceable reports whether a record does not stand in the way of a claim: its
// own repetition, a claim that its holder abandoned, or an abandoned one of this
// process.
func replaceable(existing *record, claim holder, reclaim bool) bool {
	if existing.contested {
		return false
	}
	if existing.own() {
		return existing.state == stateAbandoned
	}
	return existing.holder == claim ||
		reclaim && existing.identity == claim.identity && existing.sequence < claim.sequence
}

// receiveCopy stores a copy for a claim that its owner has granted.
func (s *Service) receiveCopy(m *peerpb.ClaimBackup) *peerpb.ClaimReply {
	now := s.lock()
	defer s.mu.Unlock()
	key, incoming := fromWire(m.GetRecord(), now)
	if s.differs(m.GetViewVersion(), incoming.identity) {
		return s.answer(peerpb.ClaimReply_VERDICT_WRONG_VIEW)
	}
	existing := s.table.records[key]
	switch {
	case len(key) > MaxKeyLength:
		return s.answer(peerpb.ClaimReply_VERDICT_UNKNOWN)
	case existing == nil && s.table.full():
		return s.answer(peerpb.ClaimReply_VERDICT_FULL)
	case existing != nil && !replaceable(existing, incoming.holder, true):
		// Another claim of the key is known here: refusing it is the safe side.
		return s.answer(peerpb.ClaimReply_VERDICT_SEEN)
	}
	s.table.put(key, incoming)
	return s.answer(peerpb.ClaimReply_VERDICT_FRESH)
}
