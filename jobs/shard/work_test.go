package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
)

// Guards against a surge whose VMs are asked for only once the work is there,
// and against a single job that is taken for a surge.
func TestRisingRateIsLookedAhead(t *testing.T) {
	onFakeTime(t, func(r *rig) {
		o := r.own()
		time.Sleep(time.Second)
		each := job.Resources{CPU: 1000}
		r.do(func() {
			now := o.o.Clock()
			for i := range 10 {
				o.recent = append(o.recent, arrival{now - time.Duration(10-i)*20*time.Millisecond, each})
			}
			rising := o.arriving().CPU
			assert.Check(t, rising > 20_000, "%d", rising)
			o.recent = []arrival{{now, each}}
			assert.Check(t, o.arriving().CPU == 1000)
		})
		time.Sleep(2 * arrivalWindow)
		r.do(func() { assert.Check(t, o.arriving().CPU == 0) })
	})
}
