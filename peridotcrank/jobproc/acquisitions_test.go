package jobproc

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/rows/rowstest"
)

// Guards against a process that becomes the owner of a shard twice under one fence, with two owner
// objects, while its log has no line that shows it.
func TestRepeatedAcquisitionIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p, out := newOwnerProcess(t, ctx, &rowstest.Store{Latency: time.Millisecond})
		o := (*ownership)(p)
		p.loop.Call(ctx, func() { o.Acquired("pool", 5) })
		p.loop.Call(ctx, func() { o.Released("pool"); o.Acquired("pool", 8) })
		p.loop.Call(ctx, func() { o.Acquired("other", 9) })
		p.loop.Call(ctx, func() { o.Acquired("pool", 8) })
		acquired := out.lines("shard-acquired")
		assert.Equal(t, len(acquired), 4)
		wantParts(t, acquired[0], `"field.acquisition":1`, `"field.fence":5`)
		wantParts(t, acquired[1], `"field.acquisition":2`, `"field.fence":8`, `"field.previous_fence":5`)
		wantParts(t, acquired[2], `"field.acquisition":1`, `"field.shard":"other"`)
		wantParts(t, acquired[3], `"field.acquisition":3`, `"field.fence":8`, `"field.previous_fence":8`, `"field.unreleased":true`)
		for _, line := range acquired[:3] {
			assert.Check(t, !strings.Contains(line, "unreleased"), line)
		}
	})
}

func wantParts(t *testing.T, line string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		assert.Check(t, strings.Contains(line, part), "%s lacks %s", line, part)
	}
}
