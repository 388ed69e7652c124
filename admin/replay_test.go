package admin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against kept replies without a limit on size or age, and against evicting
// a change in progress, which would let a repeated request run concurrently.
func TestReplyCacheIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	r := newReplyCache(func() time.Time { return now })
	key := func(n int) replyKey { return replyKey{"cy", fmt.Sprint(n)} }
	begin := func(n int) *reply {
		t.Helper()
		kept, err := r.begin(key(n), "operation")
		assert.NilError(t, err)
		return kept
	}
	begin(0) // Stays in progress.
	for n := 1; n <= 9; n++ {
		begin(n)
		r.finish(key(n), &reply{status: 200, body: make([]byte, maxCachedBytes/4)})
	}
	assert.Equal(t, r.bytes, maxCachedBytes)
	assert.Assert(t, begin(6) != nil && begin(9) != nil)
	assert.Assert(t, begin(5) == nil)
	r.finish(key(5), &reply{body: make([]byte, maxCachedBytes+1)}) // Too large to keep.
	assert.Assert(t, begin(5) == nil)
	r.finish(key(5), nil)

	now = now.Add(maxReplyAge)
	assert.Assert(t, begin(9) != nil)
	now = now.Add(1)
	assert.Assert(t, begin(9) == nil)
	assert.Equal(t, r.bytes, 0)
	_, err := r.begin(key(0), "operation")
	assert.ErrorContains(t, err, string(CodeInProgress))
	for n := range maxCachedReplies - len(r.entries) {
		begin(100 + n)
	}
	_, err = r.begin(key(99), "operation")
	assert.ErrorContains(t, err, string(CodeUnavailable))
}
