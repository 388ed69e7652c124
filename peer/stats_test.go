package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotcrank.dev/peer/peerpb"
)

// Guards against bytes of claims that the receiver counts as control traffic,
// and against sessions whose bytes are not counted.
func TestBytesAreCountedByClass(t *testing.T) {
	a, b := startPair(t, nil)
	before := b.Stats()
	_, err := CallTyped[*peerpb.ClaimReply](testContext(t), a, "b", ClassClaims, &peerpb.Claim{Key: string(make([]byte, 1000))})
	assert.NilError(t, err)
	after := b.Stats()
	assert.Assert(t, after.Claims.BytesReceived-before.Claims.BytesReceived > 1000)
	assert.Assert(t, after.Control.BytesReceived-before.Control.BytesReceived < 1000)
	assert.Assert(t, after.Wire.Received > after.Claims.BytesReceived+after.Control.BytesReceived)
	// The writer counts the bytes after writing them, so that the reply can arrive first.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a.Stats().Wire.Sent > 1000 {
			return poll.Success()
		}
		return poll.Continue("%d bytes counted", a.Stats().Wire.Sent)
	}, poll.WithDelay(time.Millisecond))
}
