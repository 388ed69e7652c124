package entry

import (
	"maps"
	"slices"
	"sync"

	"peridotcrank.dev/eventlog"
)

// summaries counts events that can occur with every request, so that a fault
// is recorded as one event per interval, code and cause instead of thousands.
type summaries struct {
	mu     sync.Mutex
	counts map[summaryKey]*summary
}

type summaryKey struct {
	code  eventlog.Code
	cause string // A service, pool, step or member; the number of causes is bounded by the configuration.
}

type summary struct {
	count     int
	lastError string
}

func newSummaries() *summaries { return &summaries{counts: make(map[summaryKey]*summary)} }

// add counts an event with a cause and keeps its error if it is not nil.
func (s *summaries) add(code eventlog.Code, cause string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := summaryKey{code, cause}
	entry := s.counts[key]
	if entry == nil {
		entry = &summary{}
		s.counts[key] = entry
	}
	entry.count++
	if err != nil {
		entry.lastError = err.Error()
	}
}

// flush records one event per code and cause counted since the previous flush.
func (s *summaries) flush(log eventlog.Recorder) {
	s.mu.Lock()
	counts := s.counts
	s.counts = make(map[summaryKey]*summary)
	s.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(counts), func(a, b summaryKey) int {
		if a.code != b.code {
			return int(a.code) - int(b.code)
		}
		if a.cause < b.cause {
			return -1
		}
		return 1
	})
	for _, key := range keys {
		fields := eventlog.Fields{"cause": key.cause, "count": counts[key].count}
		if counts[key].lastError != "" {
			fields["error"] = counts[key].lastError
		}
		log.Record(key.code, fields)
	}
}
