package gateway

import "sync/atomic"

// byteBudget bounds the bytes buffered by all requests together.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// tryReserve reserves n bytes. It reports false when that would exceed the limit.
func (b *byteBudget) tryReserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// reserve reserves n bytes even if that exceeds the limit.
func (b *byteBudget) reserve(n int64) { b.used.Add(n) }

// unreserve returns n reserved bytes.
func (b *byteBudget) unreserve(n int64) { b.used.Add(-n) }
