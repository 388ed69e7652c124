package claims

import (
	"context"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// Release removes a claim whose request provably was not run. The caller must
// not dispatch the request afterwards.
func (s *Service) Release(ctx context.Context, key Key) {
	encoded, err := key.encode()
	if err != nil {
		return
	}
	s.lock()
	defer s.mu.Unlock()
	r := s.table.records[encoded]
	if r == nil || r.state != stateGranted {
		return
	}
	// The record stays as abandoned, so that a resubmission through this process
	// is granted although the release may be lost.
	r.abandon()
	s.sendRelease(ctx, encoded, r.hash, r.holder, nil)
}

// sendRelease tells the other holders, by default those that a claim asks first.
// A lost release leaves the key claimed at them until the window has passed.
func (s *Service) sendRelease(ctx context.Context, key string, hash uint64, h holder, copies []fleet.MemberID) {
	if s.view == nil {
		return
	}
	// The claim's own time may be over; queueing the release takes none.
	ctx = context.WithoutCancel(ctx)
	message := &peerpb.ClaimRelease{Record: wireRecord(key, record{holder: h}, 0)}
	owner := s.view.ranking.owner(hash)
	if copies == nil && s.view.needsFurtherHolder(owner, s.self.id) {
		copies = []fleet.MemberID{s.view.furtherHolder(hash, owner)}
	}
	for _, member := range append([]fleet.MemberID{owner}, copies...) {
		if member != "" && member != s.self.id {
			_ = s.config.Transport.Notify(ctx, member, message)
		}
	}
}

// receiveRelease removes exactly the released claim. A claim that overtook its
// release, or a newer claim of the same holder, stays.
func (s *Service) receiveRelease(message *peerpb.ClaimRelease) {
	now := s.lock()
	defer s.mu.Unlock()
	key, released := fromWire(message.GetRecord(), now)
	r := s.table.records[key]
	if r != nil && r.state == stateCopy && !r.contested && r.holder == released.holder {
		delete(s.table.records, key)
	}
}
