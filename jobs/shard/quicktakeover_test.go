package shard

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against lost jobs and tasks that run twice when a process gives a shard up and takes it again within 0.1 to 0.3 s, once or
// twice, beside stops, workers that restart, and listings and acknowledgements that are late.
func TestRandomQuickTakeovers(t *testing.T) {
	forEachSeedAndReading(t, func(r *rig, seed uint64) {
		x := newFaultRun(r, rand.New(rand.NewPCG(seed, 0)))
		x.lateRestarts, x.quickTakeovers = true, true
		x.run()
	})
}

// takeOverSoon cancels a job and replaces the owner, once or twice, by the next one of the same process.
func (x *faultRun) takeOverSoon() {
	if n := x.rng.IntN(x.jobs); x.accepted[n] {
		delete(x.accepted, n)
		x.cancel(x.owner, n)
	}
	for range 1 + x.rng.IntN(2) {
		x.owner.callOnLoop(x.owner.Stop)
		x.wait(time.Duration(100+x.rng.IntN(200)) * time.Millisecond)
		x.owner = x.startOwner()
		x.wait(time.Duration(x.rng.IntN(300)) * time.Millisecond)
	}
}
