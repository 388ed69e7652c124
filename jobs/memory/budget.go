// Package memory bounds what the shards of a process keep in memory, counted over all of them.
package memory

import "sync"

// Budget counts bytes against a limit. It is safe for concurrent use.
type Budget struct {
	mu          sync.Mutex
	limit, used int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve takes n bytes, or returns false if they do not fit.
func (b *Budget) Reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

// Add takes n bytes for what has to be kept whether they fit or not; a negative n gives bytes back.
func (b *Budget) Add(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += n
}

// Fits reports whether n bytes can be taken.
func (b *Budget) Fits(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used+n <= b.limit
}

// FitsHalf reports whether n bytes can be taken so that half of the budget is left.
func (b *Budget) FitsHalf(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used+n <= b.limit/2
}

// Used returns the number of bytes that are taken, and the limit.
func (b *Budget) Used() (used, limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.limit
}

// Share is the part of a budget that one shard has taken. It is not safe for concurrent use.
type Share struct {
	budget *Budget
	used   int64
	closed bool
}

// NewShare returns an empty share. A share of a nil budget has no limit.
func NewShare(b *Budget) *Share { return &Share{budget: b} }

// Reserve takes n bytes, or returns false if they do not fit.
func (s *Share) Reserve(n int64) bool {
	if s.budget != nil && !s.budget.Reserve(n) {
		return false
	}
	s.used += n
	return true
}

// Add takes n bytes for what has to be kept whether they fit or not; a negative n gives bytes back.
func (s *Share) Add(n int64) {
	if s.closed {
		return
	}
	s.used += n
	if s.budget != nil {
		s.budget.Add(n)
	}
}

// Fits reports whether n bytes can be taken.
func (s *Share) Fits(n int64) bool { return s.budget == nil || s.budget.Fits(n) }

// FitsHalf reports whether n bytes can be taken so that half of the budget is left.
func (s *Share) FitsHalf(n int64) bool { return s.budget == nil || s.budget.FitsHalf(n) }

// Used returns the number of bytes that the share has taken.
func (s *Share) Used() int64 { return s.used }

// Close gives back all bytes. Later calls of Add have no effect.
func (s *Share) Close() {
	s.Add(-s.used)
	s.closed = true
}
