package memory

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against shares that are counted apart, and against bytes that a closed share keeps or gives back twice.
func TestSharesCountTogether(t *testing.T) {
	b := NewBudget(100)
	first, second := NewShare(b), NewShare(b)
	assert.Assert(t, first.Reserve(60))
	assert.Assert(t, !second.Reserve(41))
	assert.Assert(t, second.Fits(40) && !second.FitsHalf(0))
	second.Add(70) // What has to be kept may exceed the limit.
	used, limit := b.Used()
	assert.Assert(t, used == 130 && limit == 100)
	first.Close()
	first.Add(-60)
	used, _ = b.Used()
	assert.Equal(t, used, int64(70))
	assert.Assert(t, second.Reserve(30) && !second.Reserve(1))
	second.Close()
	assert.Assert(t, first.FitsHalf(50) && !first.FitsHalf(51))
	assert.Assert(t, NewShare(nil).Reserve(1<<40))
}
