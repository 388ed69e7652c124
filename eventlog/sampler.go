package eventlog

import (
	"sync"
	"time"
)

// Sampler limits the lines of one event by key, for example by peer, so that one silent
// peer does not fill the log. It is safe for concurrent use.
type Sampler struct {
	perSecond int

	mu     sync.Mutex
	second time.Time
	keys   map[string]*sample
}

// sample counts the lines of a key.
type sample struct {
	lines   int // In the current second, including those left out.
	leftOut int // Since the last permitted line.
}

// NewSampler returns a sampler that permits the given number of lines per key and second.
func NewSampler(perSecond int) *Sampler {
	return &Sampler{perSecond: perSecond, keys: map[string]*sample{}}
}

// Permit reports whether a line with a key may be recorded now. leftOut is the number of
// lines with this key that were left out since the last one; the line has to name it.
func (s *Sampler) Permit(key string, now time.Time) (leftOut int, permitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Truncate(time.Second); !second.Equal(s.second) {
		s.second = second
		s.beginSecond()
	}
	k := s.keys[key]
	if k == nil {
		k = &sample{}
		s.keys[key] = k
	}
	k.lines++
	if k.lines > s.perSecond {
		k.leftOut++
		return 0, false
	}
	leftOut, k.leftOut = k.leftOut, 0
	return leftOut, true
}

// beginSecond removes the keys without lines that are still to be reported.
func (s *Sampler) beginSecond() {
	for key, k := range s.keys {
		k.lines = 0
		if k.leftOut == 0 {
			delete(s.keys, key)
		}
	}
}
