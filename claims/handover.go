package claims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// Handover sends all claims to the members that hold them once this process has
// left the view. Call it when the last request has finished, immediately before
// leaving the view: from its start, this process takes part in no new claim, and
// claims of the keys that it owns wait for the next view.
//
// After leaving, keep serving messages until all members hold the new view, or for
// ValidFor: a member that still asks this process is told to wait for its view,
// while a closed connection would make the claim unknown.
//
// There is no way back: the receivers rely on the process granting nothing more
// in this view. After an error, leaving is still safe; the remaining members then
// treat the process like one that died.
func (s *Service) Handover(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	for {
		v, changed := s.currentView()
		if v == nil || len(v.byID) < 2 {
			return &Error{StepHandover, "", ErrNoView}
		}
		err := s.handOverIn(ctx, v)
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

// handOverIn hands over for the view that follows v without this process.
func (s *Service) handOverIn(ctx context.Context, v *view) error {
	self, batches, certain := s.handoverBatches(v)
	for member, records := range batches {
		for first := 0; first < len(records); first += s.config.PageSize {
			last := min(first+s.config.PageSize, len(records))
			message := &peerpb.ClaimHandover{Records: records[first:last]}
			if err := s.handOverTo(ctx, v, self, member, message); err != nil {
				return err
			}
		}
	}
	if !certain {
		// Without the final message, the receivers recover as after a death.
		return &Error{StepHandover, "", ErrNotCertain}
	}
	for _, m := range v.ranking.members {
		if m.ID == self.id {
			continue
		}
		if err := s.handOverTo(ctx, v, self, m.ID, &peerpb.ClaimHandover{Done: true}); err != nil {
			return err
		}
	}
	return nil
}

// handoverBatches sorts all records by their holders in the next view: the
// owner, and a member in another availability zone.
func (s *Service) handoverBatches(v *view) (self identity, batches map[fleet.MemberID][]*peerpb.ClaimRecord, certain bool) {
	next := v.without(s.self.id, v.version+1)
	now := s.lock()
	defer s.mu.Unlock()
	batches = make(map[fleet.MemberID][]*peerpb.ClaimRecord)
	for key, r := range s.table.records {
		if r.state == stateAbandoned {
			continue
		}
		owner := next.ranking.owner(r.hash)
		for _, member := range []fleet.MemberID{owner, next.furtherHolder(r.hash, owner)} {
			if member != "" {
				batches[member] = append(batches[member], wireRecord(key, *r, now-r.createdAt))
			}
		}
	}
	return s.self, batches, s.complete && now >= s.losses.unsureUntil
}

// handOverTo repeats a message until it is acknowledged or the view has changed:
// a member that has left never answers. Merging a message twice is harmless.
func (s *Service) handOverTo(ctx context.Context, v *view, self identity, member fleet.MemberID, message *peerpb.ClaimHandover) error {
	message.ViewVersion, message.Member, message.Incarnation = v.version, string(self.id), self.incarnation
	for {
		call, cancel := context.WithTimeout(ctx, s.config.RecoveryTimeout)
		reply, err := s.config.Transport.Call(call, member, message)
		cancel()
		if answer, ok := reply.(*peerpb.ClaimReply); ok && err == nil {
			switch answer.GetVerdict() {
			case peerpb.ClaimReply_VERDICT_FRESH:
				return nil
			case peerpb.ClaimReply_VERDICT_FULL:
				return &Error{StepHandover, member, ErrTableTooFull}
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

func (s *Service) receiveHandover(m *peerpb.ClaimHandover) *peerpb.ClaimReply {
	now := s.lock()
	defer s.mu.Unlock()
	who := identity{fleet.MemberID(m.GetMember()), m.GetIncarnation()}
	if s.view == nil || s.view.version != m.GetViewVersion() || !s.view.holds(who) {
		return s.answer(peerpb.ClaimReply_VERDICT_WRONG_VIEW)
	}
	for _, r := range m.GetRecords() {
		if !s.mergeWire(now, r) {
			return s.answer(peerpb.ClaimReply_VERDICT_FULL)
		}
	}
	if m.GetDone() {
		s.handedOver[who] = m.GetViewVersion()
	}
	return s.answer(peerpb.ClaimReply_VERDICT_FRESH)
}
