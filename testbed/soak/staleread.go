package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// staleReadFault holds up the results of the reads from which the processes learn the owners of the
// pools, while transactions take effect in time. Meanwhile it kills the owner of a pool, so that
// others take its shards over and then handle rows that were read before that. Callers that ask for
// jobs of the pool let the processes read again at once. It is only injected when it is named.
const staleReadFault = "staleread"

const (
	// clusterTable is the table in which the processes and the owners of the pools are recorded.
	clusterTable = "cluster"
	minStaleness = 30 * time.Millisecond
	maxStaleness = 300 * time.Millisecond
	// transactionTime is that of the platform. Reads that are sent meanwhile show the former rows.
	transactionTime = 3 * time.Millisecond

	staleReadKillAt    = 500 * time.Millisecond // From the first read that is held up.
	minStaleRead       = 2 * time.Second
	maxStaleRead       = 4 * time.Second
	staleReadCallers   = 24
	staleReadCallPause = 100 * time.Millisecond
)

// holdReadsAndKill holds up the results of reads until end is called, and kills the owner of a pool.
func (r *run) holdReadsAndKill(pool int, rng *rand.Rand) (target string, end func()) {
	release := r.platform.HoldPages(clusterTable, minStaleness, maxStaleness)
	killAt := staleReadKillAt - killJitter/2 + randomDuration(rng, 0, killJitter)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(killAt)
		r.killOwner(poolName(pool))
	})
	for range staleReadCallers {
		caller := rand.New(rand.NewPCG(rng.Uint64(), 1))
		group.Go(func() { r.callers.pollJobs(ctx, pool, caller) })
	}
	return poolName(pool), func() { cancel(); group.Wait(); release() }
}

// pollJobs asks for accepted jobs of a pool until ctx ends.
func (c *callers) pollJobs(ctx context.Context, pool int, rng *rand.Rand) {
	for ; ctx.Err() == nil; pause(ctx, staleReadCallPause) {
		id, ok := c.randomAccepted(rng)
		if !ok || c.run.poolOf(id) != pool {
			continue
		}
		if status, _ := c.sendRequest(rng, http.MethodGet, id, c.run.keys.valid(workspaceOf(id), rng), nil); status == http.StatusGone {
			c.recordViolation("job %s was accepted, but its status is gone", id)
		}
	}
}
