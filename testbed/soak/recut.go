package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"peridotcrank.dev/jobs/worker"
)

// recutFault restarts half of the workers of a pool under their IDs and cuts them off soon after,
// while tasks run there. recutKillFault also kills the pool's owner before the cut. Both are only
// injected when they are named.
const (
	recutFault     = "recut"
	recutKillFault = "recut-kill"
)

const (
	recutDown    = 600 * time.Millisecond
	recutKillAt  = 2 * time.Second // From the restart.
	recutCutAt   = 2600 * time.Millisecond
	minRecut     = 4 * time.Second // From the restart to the end of the cut.
	maxRecut     = 12 * time.Second
	killJitter   = 600 * time.Millisecond
	recutExpires = 3 * heartbeatInterval
)

// restartAndCut restarts half of the workers of a pool, and cuts them off from recutCutAt until end
// is called.
func (r *run) restartAndCut(pool string, rng *rand.Rand, kill bool) (target string, end func()) {
	var ids []worker.ID
	for i := range max(r.options.Workers/2, 1) {
		ids = append(ids, workerID(pool, 2*i%r.options.Workers))
	}
	restart := drawRestart(rng)
	restart.Down = recutDown
	killAt := recutKillAt - killJitter/2 + randomDuration(rng, 0, killJitter)
	restart.CloseConnections = false // The workers go silent.
	release := r.platform.HoldUpCalls(ids)
	for _, id := range ids {
		r.restartWorker(id, restart)
	}
	cut := make(chan func(), 1)
	go func() {
		time.Sleep(recutDown)
		release() // The calls that were sent meanwhile reach the next incarnations.
		time.Sleep(killAt - recutDown)
		if kill {
			r.killOwner(pool)
		}
		time.Sleep(max(recutCutAt-killAt, 0))
		cut <- r.platform.CutWorkers(ids, recutExpires)
	}()
	return fmt.Sprintf("%d workers from %s, owner killed %v", len(ids), ids[0], kill), func() { (<-cut)() }
}

// killOwner kills the owner of a pool and starts the process again.
func (r *run) killOwner(pool string) {
	p := r.owner(pool)
	if p == nil {
		return
	}
	p.terminate(syscall.SIGKILL, killTimeout)
	if err := p.start(); err != nil {
		r.callers.recordViolation("restart process: %v", err)
	}
}
