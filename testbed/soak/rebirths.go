package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/testbed/standin"
)

// Faults around workers that restart so soon that their owner does not know. They are only injected
// when they are named.

// seriesFault restarts workers of a pool, one after the other.
const seriesFault = "series"

// heldUpFault cuts workers off and restarts them. Their calls are held up, and reach the next
// incarnations together when the cut ends.
const heldUpFault = "heldup"

// lossFault loses a share of the replies of a pool's workers after their orders were executed.
const lossFault = "loss"

// lullFault suspends the submission of jobs, so that holds wait for long.
const lullFault = "lull"

// slowStoreFault delays all calls to the store.
const slowStoreFault = "slowstore"

const (
	maxDown         = 300 * time.Millisecond // From the end of an incarnation to the next one.
	maxSeriesGap    = 300 * time.Millisecond
	lostReplyShare  = 3 // One in this many replies is lost.
	lullPoll        = 20 * time.Millisecond
	minBriefFault   = 100 * time.Millisecond
	maxBriefFault   = 2 * time.Second
	registerMinimum = time.Millisecond // A restart that is registered at once is known at once.
)

// drawRestart draws how a worker restarts.
func drawRestart(rng *rand.Rand) standin.Restart {
	return standin.Restart{
		CloseConnections: rng.IntN(2) == 0,
		Down:             randomDuration(rng, 0, maxDown),
		RegisterAfter:    randomDuration(rng, registerMinimum, heartbeatInterval),
	}
}

// restartInSeries restarts workers of a pool until end is called.
func (r *run) restartInSeries(pool string, rng *rand.Rand) (target string, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			r.restartWorker(workerID(pool, rng.IntN(r.options.Workers)), drawRestart(rng))
			pause(ctx, randomDuration(rng, 0, maxSeriesGap))
		}
	}()
	return pool, func() { cancel(); <-done }
}

// holdUpAndRestart holds up the calls to up to half of the workers of a pool until end is called,
// and restarts these workers.
func (r *run) holdUpAndRestart(pool string, rng *rand.Rand) (target string, end func()) {
	first, count := rng.IntN(r.options.Workers), 1+rng.IntN(max(r.options.Workers/2, 1))
	var ids []worker.ID
	for i := range count {
		ids = append(ids, workerID(pool, (first+i)%r.options.Workers))
	}
	release := r.platform.HoldUpCalls(ids)
	for _, id := range ids {
		restart := drawRestart(rng)
		restart.CloseConnections = false // The cut also holds up the news of the restart.
		time.AfterFunc(randomDuration(rng, 0, maxDown), func() { r.restartWorker(id, restart) })
	}
	return fmt.Sprintf("%d workers from %s", count, ids[0]), release
}

// loseReplies loses a share of the replies of a pool's workers until end is called.
func (r *run) loseReplies(pool string) (target string, end func()) {
	r.platform.SetReplyLoss(pool, lostReplyShare)
	return pool, func() { r.platform.SetReplyLoss(pool, 0) }
}

// suspendLoad suspends the submission of jobs until end is called.
func (r *run) suspendLoad() (target string, end func()) {
	r.lulls.Add(1)
	return "", func() { r.lulls.Add(-1) }
}

// awaitLoad waits while the submission of jobs is suspended.
func (r *run) awaitLoad(ctx context.Context) {
	for r.lulls.Load() > 0 && ctx.Err() == nil {
		pause(ctx, lullPoll)
	}
}
