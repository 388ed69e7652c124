package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a shard that goes on sending orders after it was given up: the fault for which it is given up strikes
// again while it stops.
func TestStopEndsActivityDespitePanic(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		r.addWorkers(1)
		o := r.startOwner()
		time.Sleep(time.Second)
		o.callOnLoop(func() {
			o.workers["broken"] = nil
			func() {
				defer func() { assert.Assert(t, recover() == nil || o.stopped, "the shard acts on") }()
				o.Stop()
			}()
			delete(o.workers, "broken")
		})
	})
}
