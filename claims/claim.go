package claims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer"
	"peridotcrank.dev/peer/peerpb"
)

// attempt is the state of one attempt to claim a key.
type attempt struct {
	key     string
	hash    uint64
	claimID claimID
	reclaim bool
	// maybeRecorded is set once another member may have recorded the claim.
	maybeRecorded bool
	// copyTargets holds the members that were asked to store an extra copy.
	copyTargets []fleet.MemberID
	// unansweredBy is the member that may have received a request but has not
	// replied, or "".
	unansweredBy fleet.MemberID
}

// maxCopyAttempts limits the number of members that are asked to store an extra
// copy. The timeout of the claim is divided into equal shares, one for each of them
// and one for the owner.
const maxCopyAttempts = 3

// An owner that recovers claims cannot decide for some tens of milliseconds after a
// join or a planned stop. Claim retries for longer than that, so that a planned
// change of the view leads to no VerdictUnknown. The number of attempts is small,
// because after losses an owner cannot decide for the whole window.
const (
	maxRecoveringAttempts = 6
	recoveringInterval    = 50 * time.Millisecond
)

// outcome is the result of a request for a claim. retry is set if the request
// certainly had no effect and can be repeated. ownerRecovering is set if the owner
// may be able to decide later.
type outcome struct {
	verdict         Verdict
	err             error
	retry           bool
	ownerRecovering bool
}

// undecided returns an outcome with VerdictUnknown and the reason.
func undecided(step Step, peer fleet.MemberID, err error) outcome {
	return outcome{verdict: VerdictUnknown, err: &Error{step, peer, err}}
}

// retryable returns the outcome of a request that certainly had no effect.
func retryable(step Step, peer fleet.MemberID, err error) outcome {
	o := undecided(step, peer, err)
	o.retry = true
	return o
}

// ownerRecovering returns the outcome of a request that had no effect because the owner
// cannot decide yet.
func ownerRecovering(step Step, peer fleet.MemberID, err error) outcome {
	o := retryable(step, peer, err)
	o.ownerRecovering = true
	return o
}

// Claim implements Registry. After VerdictFresh, the caller must check Dispatchable
// immediately before it sends the request.
func (s *Service) Claim(ctx context.Context, key Key) (Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.ClaimTimeout)
	defer cancel()
	for {
		a, decided := s.startAttempt(key)
		if decided == nil {
			o := s.askUntilDecided(ctx, a)
			decided = s.finishAttempt(ctx, a, o)
		}
		if s.canRepeat(ctx, a, decided) {
			continue
		}
		s.countVerdict(decided.verdict)
		return decided.verdict, decided.err
	}
}

// canRepeat reports whether a claim that ended with VerdictUnknown can be repeated at
// once: the member that did not reply has left the view, so that another member
// decides now. The request has not been dispatched.
func (s *Service) canRepeat(ctx context.Context, a *attempt, o *outcome) bool {
	if o.verdict != VerdictUnknown || a == nil || a.unansweredBy == "" || ctx.Err() != nil {
		return false
	}
	v, _ := s.currentView()
	if v == nil {
		return false
	}
	_, stays := v.byID[a.unansweredBy]
	return !stays && v.contains(a.claimID.identity)
}

// startAttempt stores the dispatch record. It returns an outcome instead of an
// attempt if the claim is decided without a request to the owner.
func (s *Service) startAttempt(key Key) (*attempt, *outcome) {
	encoded, err := key.encode()
	if err != nil {
		o := undecided(StepRecord, "", err)
		return nil, &o
	}
	now := s.lockAndSweep()
	defer s.mu.Unlock()
	if o := s.newClaimRefusal(); o != nil {
		return nil, o
	}
	existing := s.table.records[encoded]
	switch {
	case existing != nil && (existing.state != stateAbandoned || existing.contested):
		return nil, &outcome{verdict: VerdictSeen}
	case existing == nil && s.table.full():
		return nil, &outcome{verdict: VerdictFull}
	}
	s.sequence++
	a := &attempt{key: encoded, hash: hashKey(encoded), claimID: claimID{s.self, s.sequence}, reclaim: existing != nil}
	s.table.put(encoded, record{claimID: a.claimID, hash: a.hash, createdAt: now, state: stateClaiming})
	return a, nil
}

// newClaimRefusal returns the outcome of new claims if this process is leaving or its
// view is not valid, or nil if it accepts new claims.
func (s *Service) newClaimRefusal() *outcome {
	var o outcome
	switch {
	case s.leaving:
		o = undecided(StepRecord, "", ErrLeaving)
	case !s.config.Valid():
		o = undecided(StepRecord, "", ErrViewNotValid)
	default:
		return nil
	}
	return &o
}

// askUntilDecided requests the claim until it is decided, its outcome is unknown, or
// ctx ends. It repeats only requests that certainly had no effect.
func (s *Service) askUntilDecided(ctx context.Context, a *attempt) outcome {
	var v *view
	recoveringAttempts := 0
	for {
		current, changed := s.currentView()
		a.maybeRecorded = a.maybeRecorded || (v != nil && v != current) // A member may know the claim from a recovery.
		v = current
		o := retryable(StepView, "", ErrNotInView)
		if v != nil && v.contains(a.claimID.identity) {
			o = s.askHolders(ctx, a, v)
		}
		interval := s.config.RetryInterval
		if o.ownerRecovering {
			recoveringAttempts++
			interval = recoveringInterval
		}
		if !o.retry || recoveringAttempts >= maxRecoveringAttempts {
			return o
		}
		select {
		case <-ctx.Done():
			o.err = fmt.Errorf("%w: %w", o.err, context.Cause(ctx))
			return o
		case <-changed:
		case <-time.After(interval):
		}
	}
}

// currentView returns the view, or nil, and a channel that is closed when a newer one is
// adopted.
func (s *Service) currentView() (*view, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, s.viewChanged
}

// askHolders requests the claim from the owner and then, if needed, an extra copy from
// another member. The order matters: only a claim that the owner has granted is
// allowed to be copied.
func (s *Service) askHolders(ctx context.Context, a *attempt, v *view) outcome {
	owner := v.ranking.owner(a.hash)
	var o outcome
	if owner == s.self.id {
		o = s.decideAsOwner(a, v)
	} else {
		o = s.askMember(ctx, a, StepOwner, owner, &peerpb.Claim{
			ViewVersion: v.version, Key: a.key, Member: string(a.claimID.id),
			Incarnation: a.claimID.incarnation, Sequence: a.claimID.sequence, Reclaim: a.reclaim,
		})
	}
	if o.verdict == VerdictFresh && v.needsExtraCopy(owner, s.self.id) {
		return s.storeCopy(ctx, a, v, owner)
	}
	return o
}

// storeCopy asks members in turn to store an extra copy, until one acknowledges it.
// After a failure it asks the next one, because unneeded copies are harmless.
func (s *Service) storeCopy(ctx context.Context, a *attempt, v *view, owner fleet.MemberID) (o outcome) {
	message := &peerpb.ClaimBackup{ViewVersion: v.version, Record: recordToWire(a.key, record{claimID: a.claimID}, 0)}
	a.copyTargets = nil
	for range maxCopyAttempts {
		member := v.extraCopyHolder(a.hash, owner, a.copyTargets...)
		if member == "" {
			break
		}
		a.copyTargets = append(a.copyTargets, member)
		callCtx, cancel := context.WithTimeout(ctx, s.config.ClaimTimeout/(maxCopyAttempts+1))
		o = s.askMember(callCtx, a, StepCopy, member, message)
		cancel()
		if o.verdict != VerdictUnknown || errors.Is(o.err, ErrViewsDiffer) || ctx.Err() != nil {
			break
		}
	}
	return o
}

// decideAsOwner decides the claim of a key that this process owns itself.
func (s *Service) decideAsOwner(a *attempt, v *view) outcome {
	now := s.lockAndSweep()
	defer s.mu.Unlock()
	r := s.table.records[a.key]
	switch {
	case s.view != v:
		return retryable(StepView, "", ErrViewsDiffer)
	case r == nil || r.claimID != a.claimID || r.contested:
		return outcome{verdict: VerdictSeen}
	case !s.config.Valid():
		return undecided(StepRecord, "", ErrViewNotValid)
	case !s.certainlyUnclaimed(now, a.hash):
		return ownerRecovering(StepRecord, "", ErrRecovering)
	}
	return outcome{verdict: VerdictFresh}
}

// askMember sends a request to a member and translates the reply into an outcome. It
// records in the attempt whether the member may have recorded the claim.
func (s *Service) askMember(ctx context.Context, a *attempt, step Step, member fleet.MemberID, message proto.Message) outcome {
	reply, err := s.config.Transport.Call(ctx, member, message)
	if err != nil && !peer.MaybeSent(err) {
		return retryable(step, member, err)
	}
	answer, ok := reply.(*peerpb.ClaimReply)
	if err == nil && !ok {
		err = ErrUnexpectedMessage
	}
	if err != nil {
		a.maybeRecorded, a.unansweredBy = true, member
		return undecided(step, member, err)
	}
	switch answer.GetVerdict() {
	case peerpb.ClaimReply_VERDICT_FRESH:
		a.maybeRecorded = true
		return outcome{verdict: VerdictFresh}
	case peerpb.ClaimReply_VERDICT_SEEN:
		return outcome{verdict: VerdictSeen}
	case peerpb.ClaimReply_VERDICT_FULL:
		return outcome{verdict: VerdictFull}
	case peerpb.ClaimReply_VERDICT_WRONG_VIEW:
		return retryable(step, member, ErrViewsDiffer)
	case peerpb.ClaimReply_VERDICT_UNKNOWN:
		return ownerRecovering(step, member, ErrUndecided) // The owner has recorded nothing.
	default:
		return undecided(step, member, ErrUndecided)
	}
}

// finishAttempt marks the dispatch record as granted, marks it as abandoned, or
// deletes it. A claim that was contested in the meantime is not granted.
func (s *Service) finishAttempt(ctx context.Context, a *attempt, o outcome) *outcome {
	s.lockAndSweep()
	defer s.mu.Unlock()
	r := s.table.records[a.key]
	isOwnClaim := r != nil && r.claimID == a.claimID
	if o.verdict == VerdictFresh && (!isOwnClaim || r.contested) {
		o = undecided(StepRecord, "", ErrContested)
	}
	switch {
	case !isOwnClaim:
	case o.verdict == VerdictFresh:
		r.state = stateGranted
		return &o
	case a.maybeRecorded || a.reclaim || r.contested:
		r.abandon()
	default:
		delete(s.table.records, a.key) // No other member knows the claim.
	}
	if a.maybeRecorded {
		s.sendRelease(ctx, a.key, a.hash, a.claimID, a.copyTargets)
	}
	return &o
}

// Dispatchable implements Registry. It must be checked immediately before the request
// is sent, because the process may have been paused since Claim. If it returns false,
// the caller must call Release.
func (s *Service) Dispatchable(key Key) bool {
	encoded, err := key.encode()
	if err != nil {
		return false
	}
	now := s.lockAndSweep()
	defer s.mu.Unlock()
	r := s.table.records[encoded]
	return r != nil && r.state == stateGranted && !r.contested &&
		now-r.createdAt < s.config.DispatchWithin && s.config.Valid()
}
