package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/testbed/standin"
)

// rebornCutFault restarts workers of a pool under their IDs, as other processes, and cuts them off so soon
// after that their owner may not have heard of the restart. Jobs arrive in between. Half of the time, the owner
// is disturbed as well. It is only injected when it is named. The cut lasts longer than the leases that owners
// grant, so it finds most with a longest lease of 10 s and with tasks that last as long.
const rebornCutFault = "reborn-cut"

const (
	minRebornDown  = 100 * time.Millisecond
	maxRebornDown  = 500 * time.Millisecond
	minRebornCutAt = 50 * time.Millisecond // From the start of the next incarnations.
	maxRebornCutAt = 500 * time.Millisecond
	minRebornCut   = 7 * time.Second // From the end of the former incarnations to the end of the cut.
	maxRebornCut   = 11 * time.Second
	maxOwnerFault  = 4 * time.Second
	// rebornShare is the number of workers of a pool of which at most one is hit.
	rebornShare = 3
	// resetInterval is the number of faults of which one closes the connections.
	resetInterval = 3
	wideJobs      = 10
	wideJobTasks  = 16
	// workerIdleTimeout lets most orders go over new connections.
	workerIdleTimeout = 100 * time.Millisecond
)

// rebornCut is a rebornCutFault.
type rebornCut struct {
	pool     int
	ids      []worker.ID
	restart  standin.Restart
	cutAfter time.Duration
	// ownerFault happens to the owner after ownerAfter and lasts for ownerFor.
	ownerFault           string
	ownerAfter, ownerFor time.Duration
}

const (
	ownerUndisturbed = "undisturbed"
	ownerKilled      = "killed"
	ownerSuspended   = "suspended"
	ownerCut         = "cut off"
)

func (r *run) drawRebornCut(pool int, rng *rand.Rand) rebornCut {
	c := rebornCut{pool: pool, ids: r.takeIdleWorkers(pool, 1+rng.IntN(max(r.options.Workers/rebornShare, 1)), rng)}
	c.restart = standin.Restart{
		NewProcess: true, CloseConnections: rng.IntN(resetInterval) == 0, Down: randomDuration(rng, minRebornDown, maxRebornDown),
		RegisterAfter: maxRebornCut, // The end of the cut registers the workers before.
	}
	c.cutAfter = c.restart.Down + randomDuration(rng, minRebornCutAt, maxRebornCutAt)
	c.ownerFault = []string{ownerUndisturbed, ownerUndisturbed, ownerUndisturbed, ownerKilled, ownerSuspended, ownerCut}[rng.IntN(6)]
	c.ownerAfter, c.ownerFor = randomDuration(rng, c.restart.Down, 2*c.cutAfter), randomDuration(rng, 0, maxOwnerFault)
	return c
}

// takeIdleWorkers returns up to count workers of a pool that no rebornCutFault has hit, those first that have
// received no start for the longest time: the next tasks start there, over new connections.
func (r *run) takeIdleWorkers(pool, count int, rng *rand.Rand) (taken []worker.ID) {
	var ids []worker.ID
	for _, n := range rng.Perm(r.options.Workers) {
		ids = append(ids, workerID(poolName(pool), n))
	}
	slices.SortStableFunc(ids, func(a, b worker.ID) int { return r.platform.LastStart(a).Compare(r.platform.LastStart(b)) })
	for _, id := range ids {
		if _, hit := r.rebornCuts.LoadOrStore(id, true); !hit {
			taken = append(taken, id)
		}
		if len(taken) == count {
			break
		}
	}
	return taken
}

// startRebornCut starts a rebornCutFault, which lasts until end is called.
func (r *run) startRebornCut(c rebornCut, rng *rand.Rand) (target string, end func()) {
	for _, id := range c.ids {
		r.restartWorker(id, c.restart)
	}
	var group sync.WaitGroup
	for range wideJobs {
		at, caller := randomDuration(rng, c.restart.Down, c.cutAfter), rand.New(rand.NewPCG(rng.Uint64(), 1))
		group.Go(func() { time.Sleep(at); r.callers.submitWideJob(c.pool, caller) })
	}
	group.Go(func() { time.Sleep(c.ownerAfter); r.disturbOwner(poolName(c.pool), c.ownerFault, c.ownerFor) })
	restored := make(chan func(), 1)
	group.Go(func() {
		time.Sleep(c.cutAfter)
		r.partition(c.ids, true)
		restored <- r.platform.ExpireEntries(c.ids, recutExpires)
	})
	target = fmt.Sprintf("%v, connections closed %v, down %v, cut after %v, owner %s after %v for %v",
		c.ids, c.restart.CloseConnections, c.restart.Down, c.cutAfter, c.ownerFault, c.ownerAfter, c.ownerFor)
	return target, func() {
		group.Wait()
		r.partition(c.ids, false)
		(<-restored)()
		for _, id := range c.ids {
			r.rebornCuts.Delete(id)
		}
	}
}

func (r *run) partition(ids []worker.ID, partitioned bool) {
	for _, id := range ids {
		r.platform.Fleet.SetPartitioned(id, partitioned)
	}
}

// disturbOwner kills, suspends or cuts off the owner of a pool for a time.
func (r *run) disturbOwner(pool, fault string, duration time.Duration) {
	p := r.owner(pool)
	if p == nil {
		return
	}
	switch fault {
	case ownerKilled:
		p.terminate(syscall.SIGKILL, killTimeout)
		time.Sleep(duration)
		if err := p.start(); err != nil {
			r.callers.recordViolation("restart process: %v", err)
		}
	case ownerSuspended:
		p.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		p.signal(syscall.SIGCONT)
	case ownerCut:
		p.storeProxy.setFault(linkDropAll)
		r.platform.CutOwner(pool)
		time.Sleep(duration)
		r.platform.ReconnectOwner(pool)
		p.storeProxy.setFault(linkHealthy)
	}
}

// submitWideJob submits a job of many tasks to a pool.
func (c *callers) submitWideJob(pool int, rng *rand.Rand) {
	s := newSubmission(rng)
	for c.run.poolOf(s.id) != pool {
		s = newSubmission(rng)
	}
	s.tasks = wideJobTasks
	c.mu.Lock()
	c.jobs = append(c.jobs, s)
	c.mu.Unlock()
	c.submitWithRetries(s, rng)
}
