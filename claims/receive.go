package claims

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// Receive handles a message of another member and returns the reply, or nil if the
// message has none. from is the member of the session. The error is ErrWrongSender if
// the message names another member, and ErrUnexpectedMessage if its type is unknown.
func (s *Service) Receive(from fleet.MemberID, message proto.Message) (proto.Message, error) {
	if named := memberNamedIn(message); named != string(from) {
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
		return nil, fmt.Errorf("%w: %T", ErrUnexpectedMessage, message)
	}
}

// memberNamedIn returns the member on whose behalf the message was sent.
func memberNamedIn(message proto.Message) string {
	switch m := message.(type) {
	case interface{ GetMember() string }:
		return m.GetMember()
	case interface{ GetRecord() *peerpb.ClaimRecord }:
		return m.GetRecord().GetMember()
	default:
		return ""
	}
}

// newReply returns a reply with the verdict and the current view version. It must be
// called with s.mu held.
func (s *Service) newReply(verdict peerpb.ClaimReply_Verdict) *peerpb.ClaimReply {
	reply := &peerpb.ClaimReply{Verdict: verdict}
	if s.view != nil {
		reply.ViewVersion = s.view.version
	}
	return reply
}

// mustWaitForView reports whether a claim made in the given view version must wait for
// another view: the views differ, this process or the claimant is not in the view, or
// this process is leaving it. Recoveries would miss a claim of a process outside the
// view.
func (s *Service) mustWaitForView(version uint64, claimant identity) bool {
	return s.view == nil || s.view.version != version || s.leaving ||
		!s.view.contains(s.self) || !s.view.contains(claimant)
}

// receiveClaim decides, as the owner of the key, a claim of another member.
func (s *Service) receiveClaim(m *peerpb.Claim) *peerpb.ClaimReply {
	now := s.lockAndSweep()
	defer s.mu.Unlock()
	hash := hashKey(m.GetKey())
	claim := record{
		claimID: claimID{identity{fleet.MemberID(m.GetMember()), m.GetIncarnation()}, m.GetSequence()},
		hash:    hash, createdAt: now,
	}
	if s.mustWaitForView(m.GetViewVersion(), claim.identity) || s.view.ranking.owner(hash) != s.self.id {
		return s.newReply(peerpb.ClaimReply_VERDICT_WRONG_VIEW)
	}
	if !s.config.Valid() || len(m.GetKey()) > MaxKeyLength {
		return s.newReply(peerpb.ClaimReply_VERDICT_UNKNOWN)
	}
	existing := s.table.records[m.GetKey()]
	switch {
	case existing != nil && !replaceable(existing, claim.claimID, m.GetReclaim()):
		return s.newReply(peerpb.ClaimReply_VERDICT_SEEN)
	case !s.certainlyUnclaimed(now, hash):
		return s.newReply(peerpb.ClaimReply_VERDICT_UNKNOWN)
	case existing == nil && s.table.full():
		return s.newReply(peerpb.ClaimReply_VERDICT_FULL)
	}
	s.table.put(m.GetKey(), claim)
	return s.newReply(peerpb.ClaimReply_VERDICT_FRESH)
}

// replaceable reports whether a claim is allowed to replace an existing record: the
// record is an earlier copy of the same claim, a claim that the same process has
// abandoned (reclaim is set), or an abandoned claim of this process.
func replaceable(existing *record, claim claimID, reclaim bool) bool {
	if existing.contested {
		return false
	}
	if existing.isOwn() {
		return existing.state == stateAbandoned
	}
	return existing.claimID == claim ||
		reclaim && existing.identity == claim.identity && existing.sequence < claim.sequence
}

// receiveCopy stores an extra copy of a claim that the owner has granted.
func (s *Service) receiveCopy(m *peerpb.ClaimBackup) *peerpb.ClaimReply {
	now := s.lockAndSweep()
	defer s.mu.Unlock()
	key, incoming := recordFromWire(m.GetRecord(), now)
	if s.mustWaitForView(m.GetViewVersion(), incoming.identity) {
		return s.newReply(peerpb.ClaimReply_VERDICT_WRONG_VIEW)
	}
	existing := s.table.records[key]
	switch {
	case len(key) > MaxKeyLength:
		return s.newReply(peerpb.ClaimReply_VERDICT_UNKNOWN)
	case existing == nil && s.table.full():
		return s.newReply(peerpb.ClaimReply_VERDICT_FULL)
	case existing != nil && !replaceable(existing, incoming.claimID, true):
		// This process knows another claim of the key, so it refuses this one to be safe.
		return s.newReply(peerpb.ClaimReply_VERDICT_SEEN)
	}
	s.table.put(key, incoming)
	return s.newReply(peerpb.ClaimReply_VERDICT_FRESH)
}
