package claims

import "time"

// Stats holds the counts of verdicts of this process and the state of its table.
type Stats struct {
	Fresh, Seen, Unknown, Full uint64
	Recoveries                 uint64 // Completed recoveries.
	Records                    int
	Recovering                 bool          // Claims of some keys are not recovered yet.
	UncertainFor               time.Duration // Remaining time for which claims may be missing.
}

// Stats returns the current statistics.
func (s *Service) Stats() Stats {
	now := s.lockAndSweep()
	defer s.mu.Unlock()
	snapshot := s.stats
	snapshot.Records = len(s.table.records)
	snapshot.Recovering = !s.complete
	snapshot.UncertainFor = max(0, s.lossTracker.uncertainUntil-now)
	return snapshot
}

func (s *Service) countVerdict(verdict Verdict) {
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
