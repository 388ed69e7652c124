package claims

import (
	"context"
	"sync"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// startRecovery replaces a recovery in progress. It is called with s.mu held.
func (s *Service) startRecovery(now time.Duration) {
	s.stopRecovery()
	s.stopRecovery = func() {}
	s.heardInformed = false
	if s.complete || !s.view.holds(s.self) {
		return
	}
	if len(s.view.byID) == 1 {
		s.completeRecovery(now)
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.stopRecovery = cancel
	go s.recover(ctx, s.view)
}

// recover asks every other member for the claims of the keys that this process
// owns in v. It ends when all have replied or the view has changed.
func (s *Service) recover(ctx context.Context, v *view) {
	var members sync.WaitGroup
	for _, m := range v.ranking.members {
		if m.ID != s.self.id {
			members.Go(func() { s.recoverFrom(ctx, v, m.ID) })
		}
	}
	members.Wait()
	now := s.lock()
	defer s.mu.Unlock()
	if ctx.Err() == nil && s.view == v {
		s.completeRecovery(now)
	}
}

func (s *Service) completeRecovery(now time.Duration) {
	s.complete = true
	s.completeFrom = s.view.version
	s.stats.Recoveries++
	s.losses.settle(now)
	if !s.informed && !s.heardInformed {
		// All members that knew the earlier claims may have gone unnoticed.
		s.losses.unsureUntil = now + s.config.retention()
	}
	s.informed = true
}

// recoverFrom fetches all pages of one member.
func (s *Service) recoverFrom(ctx context.Context, v *view, member fleet.MemberID) {
	for page := uint32(0); ctx.Err() == nil; {
		reply, err := s.recoveryPage(ctx, v, member, page)
		if err != nil || reply.GetViewVersion() != v.version {
			select {
			case <-ctx.Done():
			case <-time.After(s.config.RetryInterval):
			}
			continue
		}
		if !s.takeIn(v, reply) || !reply.GetMore() {
			return
		}
		page++
	}
}

func (s *Service) recoveryPage(ctx context.Context, v *view, member fleet.MemberID, page uint32) (*peerpb.ClaimRecoveryReply, error) {
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
		return nil, ErrUnexpected
	}
	return typed, nil
}

// takeIn merges a reply. It returns false when the view has changed.
func (s *Service) takeIn(v *view, reply *peerpb.ClaimRecoveryReply) bool {
	now := s.lock()
	defer s.mu.Unlock()
	if s.view != v {
		return false
	}
	for _, m := range reply.GetRecords() {
		s.mergeWire(now, m)
	}
	for _, d := range reply.GetDepartures() {
		who := identity{fleet.MemberID(d.GetMember()), d.GetIncarnation()}
		if !v.holds(who) {
			s.losses.learn(who, departure{zone: fleet.ZoneID(d.GetZone()), at: now - duration(d.GetAgeMs())})
		}
	}
	s.heardInformed = s.heardInformed || reply.GetInformed()
	s.losses.noteSpread(now, int(reply.GetFewestMembers()), int(reply.GetFewestZones()))
	s.losses.unsureUntil = max(s.losses.unsureUntil, now+duration(reply.GetUnsureMs()))
	return true
}

// mergeWire takes in one record. A record beyond the bound of the table counts
// as lost.
func (s *Service) mergeWire(now time.Duration, m *peerpb.ClaimRecord) bool {
	key, incoming := fromWire(m, now)
	if len(key) > MaxKeyLength || !s.table.merge(key, incoming) {
		s.losses.unsureUntil = now + s.config.retention()
		return false
	}
	return true
}
