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

// attempt is one call of Claim.
type attempt struct {
	key     string
	hash    uint64
	holder  holder
	reclaim bool
	// effects is set once another member may have recorded the claim.
	effects bool
	// copies holds the members that were asked to store a copy.
	copies []fleet.MemberID
	// unanswered is the member whose reply is missing, or "".
	unanswered fleet.MemberID
}

// maxCopyAttempts bounds the members asked for a copy. Each gets an equal share
// of the claim's time; one share is left for the owner.
const maxCopyAttempts = 3

// An owner that recovers claims cannot tell for some tens of milliseconds after a
// join or a planned stop. The claim waits that long, so that a planned change of
// the view leaves no request unknown. The number of questions is small, since an
// owner may also be unable to tell for the whole window.
const (
	maxRecoveringAttempts = 6
	recoveringInterval    = 50 * time.Millisecond
)

// outcome is the result of asking for a claim. retry is set when the question
// provably had no effect and may be put again; recovering is set when the owner
// may be able to tell later.
type outcome struct {
	verdict    Verdict
	err        error
	retry      bool
	recovering bool
}

func undecided(step Step, peer fleet.MemberID, err error) outcome {
	return outcome{verdict: VerdictUnknown, err: &Error{step, peer, err}}
}

func again(step Step, peer fleet.MemberID, err error) outcome {
	o := undecided(step, peer, err)
	o.retry = true
	return o
}

func recovering(step Step, peer fleet.MemberID, err error) outcome {
	o := again(step, peer, err)
	o.recovering = true
	return o
}

// Claim records key before dispatch. After VerdictFresh, check Dispatchable
// immediately before sending.
func (s *Service) Claim(ctx context.Context, key Key) (Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.ClaimTimeout)
	defer cancel()
	for {
		a, decided := s.begin(key)
		if decided == nil {
			o := s.obtain(ctx, a)
			decided = s.finish(ctx, a, o)
		}
		if s.repeatable(ctx, a, decided) {
			continue
		}
		s.count(decided.verdict)
		return decided.verdict, decided.err
	}
}

// repeatable reports whether a claim without a verdict may be made again at
// once: its request was not dispatched, and the member whose reply is missing
// has left the view, so that another one decides now.
func (s *Service) repeatable(ctx context.Context, a *attempt, o *outcome) bool {
	if o.verdict != VerdictUnknown || a == nil || a.unanswered == "" || ctx.Err() != nil {
		return false
	}
	v, _ := s.currentView()
	if v == nil {
		return false
	}
	_, stays := v.byID[a.unanswered]
	return !stays && v.holds(a.holder.identity)
}

// begin stores the dispatch record. It returns an outcome when the claim is
// decided without asking anybody.
func (s *Service) begin(key Key) (*attempt, *outcome) {
	encoded, err := key.encode()
	if err != nil {
		o := undecided(StepRecord, "", err)
		return nil, &o
	}
	now := s.lock()
	defer s.mu.Unlock()
	if o := s.refuse(); o != nil {
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
	a := &attempt{key: encoded, hash: hashKey(encoded), holder: holder{s.self, s.sequence}, reclaim: existing != nil}
	s.table.put(encoded, record{holder: a.holder, hash: a.hash, createdAt: now, state: stateClaiming})
	return a, nil
}

// refuse reports why this process takes part in no new claim.
func (s *Service) refuse() *outcome {
	var o outcome
	switch {
	case s.leaving:
		o = undecided(StepRecord, "", ErrLeaving)
	case !s.config.Valid():
		o = undecided(StepRecord, "", ErrNotValid)
	default:
		return nil
	}
	return &o
}

// obtain asks for the claim until it is decided, the outcome cannot be known, or
// time is over. Only questions without effect are repeated.
func (s *Service) obtain(ctx context.Context, a *attempt) outcome {
	var v *view
	recoveringAttempts := 0
	for {
		current, changed := s.currentView()
		a.effects = a.effects || (v != nil && v != current) // A recovery may have reported the claim.
		v = current
		o := again(StepView, "", ErrNoView)
		if v != nil && v.holds(a.holder.identity) {
			o = s.ask(ctx, a, v)
		}
		interval := s.config.RetryInterval
		if o.recovering {
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

func (s *Service) currentView() (*view, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, s.viewChanged
}

// ask puts the claim to the owner and then, if needed, to a further holder. The
// order matters: only the winner at the owner may store a copy.
func (s *Service) ask(ctx context.Context, a *attempt, v *view) outcome {
	owner := v.ranking.owner(a.hash)
	var o outcome
	if owner == s.self.id {
		o = s.grantOwn(a, v)
	} else {
		o = s.askMember(ctx, a, StepOwner, owner, &peerpb.Claim{
			ViewVersion: v.version, Key: a.key, Member: string(a.holder.id),
			Incarnation: a.holder.incarnation, Sequence: a.holder.sequence, Reclaim: a.reclaim,
		})
	}
	if o.verdict == VerdictFresh && v.needsFurtherHolder(owner, s.self.id) {
		return s.storeCopy(ctx, a, v, owner)
	}
	return o
}

// storeCopy stores a copy at the first member that acknowledges it. Copies at
// other members do no harm, so that the next one is tried after a failure.
func (s *Service) storeCopy(ctx context.Context, a *attempt, v *view, owner fleet.MemberID) (o outcome) {
	message := &peerpb.ClaimBackup{ViewVersion: v.version, Record: wireRecord(a.key, record{holder: a.holder}, 0)}
	a.copies = nil
	for range maxCopyAttempts {
		member := v.furtherHolder(a.hash, owner, a.copies...)
		if member == "" {
			break
		}
		a.copies = append(a.copies, member)
		bounded, cancel := context.WithTimeout(ctx, s.config.ClaimTimeout/(maxCopyAttempts+1))
		o = s.askMember(bounded, a, StepCopy, member, message)
		cancel()
		if o.verdict != VerdictUnknown || errors.Is(o.err, ErrViewsDiffer) || ctx.Err() != nil {
			break
		}
	}
	return o
}

// grantOwn decides the claim of a key that this process owns itself.
func (s *Service) grantOwn(a *attempt, v *view) outcome {
	now := s.lock()
	defer s.mu.Unlock()
	r := s.table.records[a.key]
	switch {
	case s.view != v:
		return again(StepView, "", ErrViewsDiffer)
	case r == nil || r.holder != a.holder || r.contested:
		return outcome{verdict: VerdictSeen}
	case !s.config.Valid():
		return undecided(StepRecord, "", ErrNotValid)
	case !s.certain(now, a.hash):
		return recovering(StepRecord, "", ErrRecovering)
	}
	return outcome{verdict: VerdictFresh}
}

// askMember calls a member and translates its answer.
func (s *Service) askMember(ctx context.Context, a *attempt, step Step, member fleet.MemberID, message proto.Message) outcome {
	reply, err := s.config.Transport.Call(ctx, member, message)
	if err != nil && !peer.MaybeSent(err) {
		return again(step, member, err)
	}
	answer, ok := reply.(*peerpb.ClaimReply)
	if err == nil && !ok {
		err = ErrUnexpected
	}
	if err != nil {
		a.effects, a.unanswered = true, member
		return undecided(step, member, err)
	}
	switch answer.GetVerdict() {
	case peerpb.ClaimReply_VERDICT_FRESH:
		a.effects = true
		return outcome{verdict: VerdictFresh}
	case peerpb.ClaimReply_VERDICT_SEEN:
		return outcome{verdict: VerdictSeen}
	case peerpb.ClaimReply_VERDICT_FULL:
		return outcome{verdict: VerdictFull}
	case peerpb.ClaimReply_VERDICT_WRONG_VIEW:
		return again(step, member, ErrViewsDiffer)
	case peerpb.ClaimReply_VERDICT_UNKNOWN:
		return recovering(step, member, ErrUndecided) // Such an answer records nothing.
	default:
		return undecided(step, member, ErrUndecided)
	}
}

// finish turns the dispatch record into a granted or an abandoned one. A claim
// that was contested meanwhile is not granted.
func (s *Service) finish(ctx context.Context, a *attempt, o outcome) *outcome {
	s.lock()
	defer s.mu.Unlock()
	r := s.table.records[a.key]
	mine := r != nil && r.holder == a.holder
	if o.verdict == VerdictFresh && (!mine || r.contested) {
		o = undecided(StepRecord, "", ErrContested)
	}
	switch {
	case !mine:
	case o.verdict == VerdictFresh:
		r.state = stateGranted
		return &o
	case a.effects || a.reclaim || r.contested:
		r.abandon()
	default:
		delete(s.table.records, a.key) // Nobody else has heard of the claim.
	}
	if a.effects {
		s.sendRelease(ctx, a.key, a.hash, a.holder, a.copies)
	}
	return &o
}

// Dispatchable reports whether a request whose claim was VerdictFresh may be
// sent now. Check it immediately before sending: the process may have been
// paused since Claim. After false, call Release.
func (s *Service) Dispatchable(key Key) bool {
	encoded, err := key.encode()
	if err != nil {
		return false
	}
	now := s.lock()
	defer s.mu.Unlock()
	r := s.table.records[encoded]
	return r != nil && r.state == stateGranted && !r.contested &&
		now-r.createdAt < s.config.DispatchWithin && s.config.Valid()
}
