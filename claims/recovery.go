package claims

import (
	"context"
	"sync"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// startRecovery cancels a recovery in progress and starts one for the current view, if
// this process may not know all claims of its keys. It must be called with s.mu held.
func (s *Service) startRecovery(now time.Duration) {
	s.stopRecovery()
	s.stopRecovery = func() {}
	s.informedReplied = false
	if s.complete || !s.view.contains(s.self) {
		return
	}
	if len(s.view.byID) == 1 {
		s.completeRecovery(now)
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.stopRecovery = cancel
	go s.runRecovery(ctx, s.view)
}

// runRecovery requests from every other member the claims of the keys that this process
// owns in v. It ends when all have replied or the view has changed.
func (s *Service) runRecovery(ctx context.Context, v *view) {
	var members sync.WaitGroup
	for _, m := range v.ranking.members {
		if m.ID != s.self.id {
			members.Go(func() { s.recoverFrom(ctx, v, m.ID) })
		}
	}
	members.Wait()
	now := s.lockAndSweep()
	defer s.mu.Unlock()
	if ctx.Err() == nil && s.view == v {
		s.completeRecovery(now)
	}
}

// completeRecovery records that this process knows all claims of its keys, except those
// that may have been lost. It must be called with s.mu held.
func (s *Service) completeRecovery(now time.Duration) {
	s.complete = true
	s.completeVersion = s.view.version
	s.stats.Recoveries++
	s.lossTracker.onRecoveryComplete(now)
	if !s.informed && !s.informedReplied {
		// All members that knew the earlier claims may have left without this process
		// knowing it.
		s.lossTracker.uncertainUntil = now + s.config.retention()
	}
	s.informed = true
}

// recoverFrom fetches and merges all pages of one member. It retries until the member
// replies in view v or ctx ends.
func (s *Service) recoverFrom(ctx context.Context, v *view, member fleet.MemberID) {
	for page := uint32(0); ctx.Err() == nil; {
		reply, err := s.fetchRecoveryPage(ctx, v, member, page)
		if err != nil || reply.GetViewVersion() != v.version {
			select {
			case <-ctx.Done():
			case <-time.After(s.config.RetryInterval):
			}
			continue
		}
		if !s.mergeRecoveryReply(v, reply) || !reply.GetMore() {
			return
		}
		page++
	}
}

func (s *Service) fetchRecoveryPage(ctx context.Context, v *view, member fleet.MemberID, page uint32) (*peerpb.ClaimRecoveryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.RecoveryTimeout)
	defer cancel()
	reply, err := s.config.Transport.Call(ctx, member, &peerpb.ClaimRecovery{
		ViewVersion: v.version, Member: string(s.self.id), Page: page,
	})
	if err != nil {
		return nil, err
	}
	typed, ok := reply.(*peerpb.ClaimRecoveryReply)
	if !ok {
		return nil, ErrUnexpectedMessage
	}
	return typed, nil
}

// mergeRecoveryReply merges one page of a recovery. It returns false if the view has
// changed.
func (s *Service) mergeRecoveryReply(v *view, reply *peerpb.ClaimRecoveryReply) bool {
	now := s.lockAndSweep()
	defer s.mu.Unlock()
	if s.view != v {
		return false
	}
	for _, m := range reply.GetRecords() {
		s.mergeWireRecord(now, m)
	}
	for _, d := range reply.GetDepartures() {
		ident := identity{fleet.MemberID(d.GetMember()), d.GetIncarnation()}
		if !v.contains(ident) {
			s.lossTracker.addReportedDeparture(ident, departure{zone: fleet.ZoneID(d.GetZone()), confirmedAt: now - durationFromMs(d.GetAgeMs())})
		}
	}
	s.informedReplied = s.informedReplied || reply.GetInformed()
	s.lossTracker.recordSpread(now, int(reply.GetFewestMembers()), int(reply.GetFewestZones()))
	s.lossTracker.uncertainUntil = max(s.lossTracker.uncertainUntil, now+durationFromMs(reply.GetUnsureMs()))
	return true
}

// mergeWireRecord merges one record of a message. If the key is too long or the table is
// full, it returns false, and the record counts as lost.
func (s *Service) mergeWireRecord(now time.Duration, m *peerpb.ClaimRecord) bool {
	key, incoming := recordFromWire(m, now)
	if len(key) > MaxKeyLength || !s.table.merge(key, incoming) {
		s.lossTracker.uncertainUntil = now + s.config.retention()
		return false
	}
	return true
}
