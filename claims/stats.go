package claims

import "time"

// Stats counts the outcomes of claims of this process and describes its table.
type Stats struct {
	Fresh, Seen, Unknown, Full uint64
	Recoveries                 uint64 // Completed recoveries.
	Records                    int
	Recovering                 bool          // Claims of some keys are not recovered yet.
	UnsureFor                  time.Duration // Time for which claims may be missing.
}

// Stats returns a snapshot.
func (s *Service) Stats() Stats {
	now := s.lock()
	defer s.mu.Unlock()
	snapshot := s.stats
	snapshot.Records = len(s.table.records)
	snapshot.Recovering = !s.complete
	snapshot.UnsureFor = max(0, s.losses.unsureUntil-now)
	return snapshot
}

func (s *Service) count(verdict Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch verdict {
	case VerdictFresh:
		s.stats.Fresh++
	case VerdictSeen:
		s.stats.Seen++
	case VerdictFull:
		s.stats.Full++
	default:
		s.stats.Unknown++
	}
}
