package gateway

import "sync/atomic"

// byteBudget bounds the bytes buffered by all requests together.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// tryAdd takes n bytes unless that exceeds the limit.
func (b *byteBudget) tryAdd(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// add takes n bytes regardless of the limit.
func (b *byteBudget) add(n int64) { b.used.Add(n) }

func (b *byteBudget) remove(n int64) { b.used.Add(-n) }
