package claims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// Handover sends all claims to the members that must hold them after this process has
// left the view. It must be called after the last request has finished, immediately
// before the process leaves the view. From its start, this process accepts no new
// claim, and claims of the keys that it owns wait for the next view.
//
// After leaving, the process must answer messages until all members have the new view,
// or for ValidFor. A member with the old view then gets the reply that it must wait for
// the new view, while a closed connection would make its claim unknown.
//
// Handover cannot be undone, because the receivers rely on the process granting no more
// claims in this view. After an error the process can still leave safely; the remaining
// members then treat it as a failed member.
func (s *Service) Handover(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	for {
		v, changed := s.currentView()
		if v == nil || len(v.byID) < 2 {
			return &Error{StepHandover, "", ErrNotInView}
		}
		err := s.handOverForView(ctx, v)
		if !errors.Is(err, ErrViewsDiffer) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", err, context.Cause(ctx))
		case <-changed:
		case <-time.After(s.config.RetryInterval):
		}
	}
}

// handOverForView hands over all claims for the view that follows v without this
// process. It returns an error with ErrViewsDiffer if v is not the current view of
// every member.
func (s *Service) handOverForView(ctx context.Context, v *view) error {
	self, batches, certain := s.handoverBatches(v)
	for member, records := range batches {
		for first := 0; first < len(records); first += s.config.PageSize {
			last := min(first+s.config.PageSize, len(records))
			message := &peerpb.ClaimHandover{Records: records[first:last]}
			if err := s.sendHandover(ctx, v, self, member, message); err != nil {
				return err
			}
		}
	}
	if !certain {
		// Without the final message, the receivers recover claims as after a failure.
		return &Error{StepHandover, "", ErrClaimsIncomplete}
	}
	for _, m := range v.ranking.members {
		if m.ID == self.id {
			continue
		}
		if err := s.sendHandover(ctx, v, self, m.ID, &peerpb.ClaimHandover{Done: true}); err != nil {
			return err
		}
	}
	return nil
}

// handoverBatches groups all records by their holders in the next view: the owner and
// the holder of the extra copy. certain is false if claims may be missing.
func (s *Service) handoverBatches(v *view) (self identity, batches map[fleet.MemberID][]*peerpb.ClaimRecord, certain bool) {
	next := v.without(s.self.id, v.version+1)
	now := s.lockAndSweep()
	defer s.mu.Unlock()
	batches = make(map[fleet.MemberID][]*peerpb.ClaimRecord)
	for key, r := range s.table.records {
		if r.state == stateAbandoned {
			continue
		}
		owner := next.ranking.owner(r.hash)
		for _, member := range []fleet.MemberID{owner, next.extraCopyHolder(r.hash, owner)} {
			if member != "" {
				batches[member] = append(batches[member], recordToWire(key, *r, now-r.createdAt))
			}
		}
	}
	return s.self, batches, s.complete && now >= s.lossTracker.uncertainUntil
}

// sendHandover sends a message repeatedly until the member acknowledges it, ctx ends or
// the view changes, because a member that has left never replies. Merging a message
// twice is harmless.
func (s *Service) sendHandover(ctx context.Context, v *view, self identity, member fleet.MemberID, message *peerpb.ClaimHandover) error {
	message.ViewVersion, message.Member, message.Incarnation = v.version, string(self.id), self.incarnation
	for {
		callCtx, cancel := context.WithTimeout(ctx, s.config.RecoveryTimeout)
		reply, err := s.config.Transport.Call(callCtx, member, message)
		cancel()
		if answer, ok := reply.(*peerpb.ClaimReply); ok && err == nil {
			switch answer.GetVerdict() {
			case peerpb.ClaimReply_VERDICT_FRESH:
				return nil
			case peerpb.ClaimReply_VERDICT_FULL:
				return &Error{StepHandover, member, ErrTableFull}
			default:
				return &Error{StepHandover, member, ErrViewsDiffer}
			}
		}
		if current, _ := s.currentView(); current != v {
			return &Error{StepHandover, member, ErrViewsDiffer}
		}
		select {
		case <-ctx.Done():
			return &Error{StepHandover, member, errors.Join(context.Cause(ctx), err)}
		case <-time.After(s.config.RetryInterval):
		}
	}
}

// receiveHandover merges records of a leaving member. The message with Done set completes
// the handover.
func (s *Service) receiveHandover(m *peerpb.ClaimHandover) *peerpb.ClaimReply {
	now := s.lockAndSweep()
	defer s.mu.Unlock()
	ident := identity{fleet.MemberID(m.GetMember()), m.GetIncarnation()}
	if s.view == nil || s.view.version != m.GetViewVersion() || !s.view.contains(ident) {
		return s.newReply(peerpb.ClaimReply_VERDICT_WRONG_VIEW)
	}
	for _, r := range m.GetRecords() {
		if !s.mergeWireRecord(now, r) {
			return s.newReply(peerpb.ClaimReply_VERDICT_FULL)
		}
	}
	if m.GetDone() {
		s.handedOver[ident] = m.GetViewVersion()
	}
	return s.newReply(peerpb.ClaimReply_VERDICT_FRESH)
}
