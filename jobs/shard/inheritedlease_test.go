package shard

import (
	"testing"
	"time"
)

// Guards against a second run beside one whose lease from the former owner is longer than those of the next owner: its
// worker has restarted, replies to the next owner once and is cut off.
func TestLeaseOfFormerOwnerIsAwaitedAfterReply(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		former, restarted := silentRestartRig(r)
		r.setRegistryEntry(former, 0, restarted)
		time.Sleep(restartKnownWithin) // The row of the new incarnation is stored.
		former.callOnLoop(former.Stop)
		r.startOwner()
		time.Sleep(200 * time.Millisecond)
		r.fleet.SetPartitioned("w0", true)
		r.assertRestarted(1)
	})
}
