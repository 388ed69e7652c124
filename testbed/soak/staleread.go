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
// jobs of the pool let the processes read again at once. It is only injected when it is named, then
// also, without a kill, at the start of the processes.
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

// holdReads holds up the results of reads and lets callers ask for jobs of a pool, until end is called.
func (r *run) holdReads(pool int, rng *rand.Rand) (end func()) {
	release := r.platform.HoldPages(clusterTable, minStaleness, maxStaleness)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range staleReadCallers {
		caller := rand.New(rand.NewPCG(rng.Uint64(), 1))
		group.Go(func() { r.callers.askForUnknownJobs(ctx, pool, caller) })
	}
	return func() { cancel(); group.Wait(); release() }
}

// holdReadsAndKill starts a staleReadFault, which lasts until end is called.
func (r *run) holdReadsAndKill(pool int, rng *rand.Rand) (target string, end func()) {
	killAt := staleReadKillAt - killJitter/2 + randomDuration(rng, 0, killJitter)
	release := r.holdReads(pool, rng)
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		time.Sleep(killAt)
		r.killOwner(poolName(pool))
	}()
	return poolName(pool), func() { <-killed; release() }
}

// holdReadsAtStart holds up the results of reads while the pools, which have no jobs yet, get their
// first owners.
func (r *run) holdReadsAtStart() {
	rng := rand.New(rand.NewPCG(r.options.Seed, 11))
	for pool := range r.options.Pools {
		time.AfterFunc(minStaleRead, r.holdReads(pool, rng))
	}
}

// askForUnknownJobs asks the owner of a pool for jobs that were never submitted, until ctx ends.
func (c *callers) askForUnknownJobs(ctx context.Context, pool int, rng *rand.Rand) {
	for ; ctx.Err() == nil; pause(ctx, staleReadCallPause) {
		s := newSubmission(rng)
		for c.run.poolOf(s.id) != pool {
			s = newSubmission(rng)
		}
		c.sendRequest(rng, http.MethodGet, s.id, c.run.keys.valid(s.workspace, rng), nil)
	}
}
