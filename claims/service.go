package claims

import (
	"context"
	"sync"
	"time"

	"peridotcrank.dev/fleet"
)

// Service implements Registry in one entry process. It is safe for concurrent use.
type Service struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	table    *table
	self     identity
	sequence uint64
	leaving  bool
	stats    Stats

	view        *view
	viewChanged chan struct{} // Closed when a newer view is adopted.
	// history holds the former views of the retention time and the current
	// view, oldest first. It starts with the view before this process joined.
	history []*view
	// completeFrom is the version of the last view in which this process knew
	// all claims of the keys that it owned.
	completeFrom uint64
	complete     bool // The current view is such a view.
	// informed is set when this process knows every departure and every view of
	// the retention time. A process that joined or missed a view learns them from
	// an informed member; heardInformed is set when one has replied.
	informed, heardInformed bool
	stopRecovery            context.CancelFunc

	losses     losses
	handedOver map[identity]uint64         // View version of the last handover of a member.
	exports    map[fleet.MemberID][]string // Keys by owner, for recovery; nil until asked for.
}

// New returns a service without a view. Close ends it.
func New(config Config) (*Service, error) {
	config = config.withDefaults()
	if err := config.Validate(); err != nil {
		return nil, err
	}
	s := &Service{
		config: config, table: newTable(config.Window, config.MaxRecords), self: identity{id: config.Self},
		viewChanged: make(chan struct{}), stopRecovery: func() {},
		losses:     newLosses(config.retention()),
		handedOver: make(map[identity]uint64),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Close ends a recovery in progress. Claims in progress end with their contexts.
func (s *Service) Close() { s.cancel() }

// lock takes the mutex and removes expired records.
func (s *Service) lock() (now time.Duration) {
	s.mu.Lock()
	now = s.config.Now()
	s.table.sweep(now)
	return now
}

// SetView adopts a member view. An older view is ignored. Recovery runs in the
// background when this process owns keys whose claims it may not know.
func (s *Service) SetView(members fleet.MemberView) {
	now := s.lock()
	defer s.mu.Unlock()
	if s.view != nil && members.Version <= s.view.version {
		return
	}
	next := newView(members.Version, members.Members)
	if s.view == nil {
		s.adoptFirst(now, next)
	} else {
		s.adoptNext(now, next)
	}
	s.view = next
	s.trimHistory(now)
	s.exports = nil
	close(s.viewChanged)
	s.viewChanged = make(chan struct{})
	s.startRecovery(now)
}

// adoptFirst starts the history with the view that lacks this process, whose
// owners hold the claims made so far.
func (s *Service) adoptFirst(now time.Duration, next *view) {
	before := next.without(s.self.id, next.version-1)
	before.supersedAt = now
	s.setIncarnation(next)
	if len(before.byID) != 1 {
		s.noteView(now, before) // Otherwise see noteView on a process that has not joined.
	}
	s.noteView(now, next)
	s.history = []*view{before, next}
	s.completeFrom = before.version
	// The first member that ever joined, in version 1 of the view, has missed nothing.
	s.informed = s.self.incarnation == 1
}

func (s *Service) adoptNext(now time.Duration, next *view) {
	former, self := s.view, s.self
	former.supersedAt = now
	next.gap = !next.explainedBy(former)
	s.history = append(s.history, next)
	s.noteView(now, former)
	s.noteView(now, former.common(next))
	s.noteView(now, next)
	s.setIncarnation(next)
	for _, m := range former.ranking.members {
		who := identity{m.ID, m.Incarnation}
		if !next.holds(who) && !s.handedOverIn(who, former, next) {
			s.losses.depart(who, m.Zone)
		}
	}
	s.informed = s.informed && !next.gap
	s.complete = s.complete && self == s.self && next.holds(self) && s.gainsNothing(former, next)
	if s.complete {
		s.completeFrom = next.version
	}
}

// noteView records how widely claims made in the view are spread. A view that
// holds only this process has no claim to lose while the table is empty, for
// example when a site starts. A process that has not joined leaves the judgement
// on a single member to that member, from which its recovery learns it.
func (s *Service) noteView(now time.Duration, v *view) {
	if len(v.byID) == 1 {
		notJoined := s.self.incarnation == 0
		if notJoined || v.holds(s.self) && len(s.table.records) == 0 {
			return
		}
	}
	s.losses.noteView(now, v)
}

func (s *Service) setIncarnation(v *view) {
	if m, ok := v.byID[s.self.id]; ok {
		s.self.incarnation = m.Incarnation
	}
}

// gainsNothing reports whether this process knows all claims of the keys that it
// owns in next, given that it did in former: no key has moved to it, or those
// that have were handed over.
func (s *Service) gainsNothing(former, next *view) bool {
	if next.gap {
		return false
	}
	for _, m := range former.ranking.members {
		_, stays := next.byID[m.ID]
		if !stays && !s.handedOverIn(identity{m.ID, m.Incarnation}, former, next) {
			return false
		}
	}
	return true
}

// handedOverIn reports whether the member handed its claims over in the former
// view and next is the view without it: joins in between would have changed the
// receivers.
func (s *Service) handedOverIn(who identity, former, next *view) bool {
	version, ok := s.handedOver[who]
	return ok && version == former.version && next.version == former.version+1
}

func (s *Service) trimHistory(now time.Duration) {
	keep := 0
	for keep < len(s.history)-1 && s.history[keep].version < s.completeFrom &&
		s.history[keep].supersedAt < now-s.config.retention() {
		keep++
	}
	s.history = s.history[keep:]
	for who, version := range s.handedOver {
		if version < s.view.version-1 {
			delete(s.handedOver, who)
		}
	}
}

// certain reports whether a key that this process owns and does not know was
// certainly not claimed in the window. It holds when the process has owned the
// key without interruption since it last knew all claims, and for the whole
// retention time while claims may have been lost.
func (s *Service) certain(now time.Duration, keyHash uint64) bool {
	unsure := now < s.losses.unsureUntil
	if s.complete && !unsure {
		return true
	}
	for i, v := range s.history {
		if !unsure && v.version < s.completeFrom {
			continue
		}
		first := i == 0 || !unsure && v.version == s.completeFrom
		if !first && v.gap || v.ranking.owner(keyHash) != s.self.id {
			return false
		}
	}
	return true
}
