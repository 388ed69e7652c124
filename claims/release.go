package claims

import (
	"context"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// Release implements Registry. The caller must not dispatch the request afterwards.
func (s *Service) Release(ctx context.Context, key Key) {
	encoded, err := key.encode()
	if err != nil {
		return
	}
	s.lockAndSweep()
	defer s.mu.Unlock()
	r := s.table.records[encoded]
	if r == nil || r.state != stateGranted {
		return
	}
	// The record is kept as abandoned, so that a resubmission through this process
	// is granted even if the release is lost.
	r.abandon()
	s.sendRelease(ctx, encoded, r.hash, r.claimID, nil)
}

// sendRelease sends the release to the other holders of the claim. If copies is nil,
// these are the members that a claim asks first. A holder that does not receive the
// release keeps the key claimed until the window has passed.
func (s *Service) sendRelease(ctx context.Context, key string, hash uint64, claim claimID, copies []fleet.MemberID) {
	if s.view == nil {
		return
	}
	// The context of the claim may have ended, but queueing the release does not wait.
	ctx = context.WithoutCancel(ctx)
	message := &peerpb.ClaimRelease{Record: recordToWire(key, record{claimID: claim}, 0)}
	owner := s.view.ranking.owner(hash)
	if copies == nil && s.view.needsExtraCopy(owner, s.self.id) {
		copies = []fleet.MemberID{s.view.extraCopyHolder(hash, owner)}
	}
	for _, member := range append([]fleet.MemberID{owner}, copies...) {
		if member != "" && member != s.self.id {
			_ = s.config.Transport.Notify(ctx, member, message)
		}
	}
}

// receiveRelease removes the released claim if it is still the claim on record. A
// claim that arrives after its release, or a newer claim of the same process, stays.
func (s *Service) receiveRelease(message *peerpb.ClaimRelease) {
	now := s.lockAndSweep()
	defer s.mu.Unlock()
	key, released := recordFromWire(message.GetRecord(), now)
	r := s.table.records[key]
	if r != nil && r.state == stateCopy && !r.contested && r.claimID == released.claimID {
		delete(s.table.records, key)
	}
}
