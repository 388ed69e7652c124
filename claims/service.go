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
	// history holds the former views of the retention time and the current view,
	// oldest first. Initially it holds the view before this process joined.
	history []*view
	// completeVersion is the version of the last view in which this process knew all
	// claims of the keys that it owned.
	completeVersion uint64
	complete        bool // This process knows all claims of its keys in the current view.
	// informed is set if this process knows every departure and every view of the
	// retention time. A process that joined or missed a view gets them from an
	// informed member. informedReplied is set when such a member has replied to the
	// current recovery.
	informed, informedReplied bool
	stopRecovery              context.CancelFunc

	lossTracker lossTracker
	handedOver  map[identity]uint64         // View version of the last handover of a member.
	keysByOwner map[fleet.MemberID][]string // For recoveries; nil until the first request in a view.
}

// New returns a service without a view, which decides no claim before SetView. It
// returns an error if the configuration is invalid. Close ends the service.
func New(config Config) (*Service, error) {
	config = config.withDefaults()
	if err := config.Validate(); err != nil {
		return nil, err
	}
	s := &Service{
		config: config, table: newTable(config.Window, config.MaxRecords), self: identity{id: config.Self},
		viewChanged: make(chan struct{}), stopRecovery: func() {},
		lossTracker: newLossTracker(config.retention()),
		handedOver:  make(map[identity]uint64),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Close cancels a recovery in progress. Claims in progress end with their contexts.
func (s *Service) Close() { s.cancel() }

// lockAndSweep locks the mutex, removes expired records and returns the time.
func (s *Service) lockAndSweep() (now time.Duration) {
	s.mu.Lock()
	now = s.config.Now()
	s.table.sweep(now)
	return now
}

// SetView adopts a member view. A view that is not newer than the current one is
// ignored. If this process owns keys whose claims it may not know, it recovers them
// in the background.
func (s *Service) SetView(members fleet.MemberView) {
	now := s.lockAndSweep()
	defer s.mu.Unlock()
	if s.view != nil && members.Version <= s.view.version {
		return
	}
	next := newView(members.Version, members.Members)
	if s.view == nil {
		s.adoptFirstView(now, next)
	} else {
		s.adoptNextView(now, next)
	}
	s.view = next
	s.trimHistory(now)
	s.keysByOwner = nil
	close(s.viewChanged)
	s.viewChanged = make(chan struct{})
	s.startRecovery(now)
}

// adoptFirstView starts the history with the view without this process. The members
// of that view hold the claims made so far.
func (s *Service) adoptFirstView(now time.Duration, next *view) {
	before := next.without(s.self.id, next.version-1)
	before.supersedAt = now
	s.setIncarnation(next)
	if len(before.byID) != 1 {
		s.recordView(now, before) // recordView explains the case of a single member.
	}
	s.recordView(now, next)
	s.history = []*view{before, next}
	s.completeVersion = before.version
	// The first member, which joined in version 1 of the view, has missed no
	// view and no departure.
	s.informed = s.self.incarnation == 1
}

// adoptNextView adds a view to the history, records the departures since the former view,
// and determines whether this process still knows all claims of its keys.
func (s *Service) adoptNextView(now time.Duration, next *view) {
	former, self := s.view, s.self
	former.supersedAt = now
	next.gap = !next.contiguousWith(former)
	s.history = append(s.history, next)
	s.recordView(now, former)
	s.recordView(now, former.intersect(next))
	s.recordView(now, next)
	s.setIncarnation(next)
	for _, m := range former.ranking.members {
		ident := identity{m.ID, m.Incarnation}
		if !next.contains(ident) && !s.handedOverBetween(ident, former, next) {
			s.lossTracker.addDeparture(ident, m.Zone)
		}
	}
	s.informed = s.informed && !next.gap
	s.complete = s.complete && self == s.self && next.contains(self) && s.staysComplete(former, next)
	if s.complete {
		s.completeVersion = next.version
	}
}

// recordView records whether claims made in the view are held by a single member or in
// a single zone. It ignores a view with only this process while the table is empty,
// for example when a site starts, because there is no claim to lose. A process that
// has not joined yet ignores a view with a single member: it gets that information
// from the member itself in its recovery.
func (s *Service) recordView(now time.Duration, v *view) {
	if len(v.byID) == 1 {
		notJoined := s.self.incarnation == 0
		if notJoined || v.contains(s.self) && len(s.table.records) == 0 {
			return
		}
	}
	s.lossTracker.recordView(now, v)
}

// setIncarnation sets the incarnation of this process if the view contains it.
func (s *Service) setIncarnation(v *view) {
	if m, ok := v.byID[s.self.id]; ok {
		s.self.incarnation = m.Incarnation
	}
}

// staysComplete reports whether this process, which knew all claims of its keys in
// former, also knows those of its keys in next: it has got no key of another member,
// or only keys of members that handed their claims over.
func (s *Service) staysComplete(former, next *view) bool {
	if next.gap {
		return false
	}
	for _, m := range former.ranking.members {
		_, stays := next.byID[m.ID]
		if !stays && !s.handedOverBetween(identity{m.ID, m.Incarnation}, former, next) {
			return false
		}
	}
	return true
}

// handedOverBetween reports whether the member completed its handover in the former
// view and next directly follows that view. A join between the two would have changed
// the members that must receive the claims.
func (s *Service) handedOverBetween(ident identity, former, next *view) bool {
	version, ok := s.handedOver[ident]
	return ok && version == former.version && next.version == former.version+1
}

// trimHistory removes the views and handovers that certainlyUnclaimed and
// handedOverBetween no longer need.
func (s *Service) trimHistory(now time.Duration) {
	firstKept := 0
	for firstKept < len(s.history)-1 && s.history[firstKept].version < s.completeVersion &&
		s.history[firstKept].supersedAt < now-s.config.retention() {
		firstKept++
	}
	s.history = s.history[firstKept:]
	for ident, version := range s.handedOver {
		if version < s.view.version-1 {
			delete(s.handedOver, ident)
		}
	}
}

// certainlyUnclaimed reports whether a key that this process owns, and of which it
// has no record, was certainly not claimed within the window. This is so if the
// process has owned the key without interruption since it last knew all claims of its
// keys. While claims may have been lost, it must have owned the key for the whole
// retention time.
func (s *Service) certainlyUnclaimed(now time.Duration, keyHash uint64) bool {
	uncertain := now < s.lossTracker.uncertainUntil
	if s.complete && !uncertain {
		return true
	}
	for i, v := range s.history {
		if !uncertain && v.version < s.completeVersion {
			continue
		}
		first := i == 0 || !uncertain && v.version == s.completeVersion
		if !first && v.gap || v.ranking.owner(keyHash) != s.self.id {
			return false
		}
	}
	return true
}
