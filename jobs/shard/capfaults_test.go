package shard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/caps"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/jobs/worker/workertest"
)

// Guards against a share that is lost, or used twice, when its owner is killed while its
// transaction is in flight and takes effect later.
func TestOwnerKilledDuringShareTransaction(t *testing.T) {
	for name, fault := range map[string]rowstest.Fault{
		"applied without reply": rowstest.ResponseLost, "applied late": rowstest.Delayed, "never applied": rowstest.RequestLost,
	} {
		t.Run(name, func(t *testing.T) {
			withCap(t, 6, 2, func(c *capRig) {
				c.runFor(2 * time.Second)
				c.submitTo(0, 2)
				c.awaitRunning(0, 2, time.Second)
				c.setFault(fault)
				c.submitTo(0, 8)
				time.Sleep(50 * time.Millisecond)
				c.callOnLoop(c.pools[poolName(0)].Stop)
				c.setFault(rowstest.NoFault)
				c.startPool(poolName(0), 2)
				c.submitTo(1, 20)
				c.awaitDone(30, 25*time.Second)
				c.submitTo(1, 6)
				c.awaitRunning(1, 6, 2*time.Second)
			})
		})
	}
}

// Guards against a share that an owner uses before it holds it, or keeps using after it has
// returned it, when the replies of its transactions are lost.
func TestShareRepliesLost(t *testing.T) {
	for name, fault := range map[string]rowstest.Fault{"applied": rowstest.ResponseLost, "late": rowstest.Delayed} {
		t.Run(name, func(t *testing.T) {
			withCap(t, 6, 2, func(c *capRig) {
				c.runFor(300 * time.Millisecond)
				for round := range 6 {
					c.setFault(fault)
					c.submitTo(round%2, 12)
					c.submitTo(1-round%2, 4)
					time.Sleep(1500 * time.Millisecond)
					c.setFault(rowstest.NoFault)
					c.awaitDone((round+1)*16, 8*time.Second)
				}
				c.runFor(time.Second)
				c.submitTo(1, 6)
				c.awaitRunning(1, 6, 2*time.Second)
			})
		})
	}
}

// Guards against an owner that uses a share which it has returned, because the reply was
// lost and its feed is late.
func TestReturnedShareIsNotUsed(t *testing.T) {
	withCap(t, 6, 2, func(c *capRig) {
		c.submitTo(0, 6)
		c.awaitRunning(0, 6, time.Second)
		c.awaitRunning(0, 0, 3*time.Second)
		c.runFor(10 * time.Second)
		held := c.record().Entry(poolName(0)).Held
		c.store.SetFault(func(tx rows.Tx) rowstest.Fault {
			if tx.Expect[0].Table != TableCaps {
				return rowstest.NoFault
			}
			record, err := caps.Unmarshal(tx.Set[0].Value)
			if err == nil && record.Entry(poolName(0)).Held < held && !c.isFeedStopped(poolName(0)) {
				c.stopFeed(poolName(0))
				return rowstest.ResponseLost
			}
			return rowstest.NoFault
		})
		c.submitTo(1, 6)
		c.awaitRunning(1, 6, 700*time.Millisecond) // Pool 0 still waits for its reply.
		assert.Assert(t, c.isFeedStopped(poolName(0)))
		c.submitTo(0, 4)
		time.Sleep(5 * time.Second)
		assert.Equal(t, c.running(0), 0)
	})
}

// Guards against a pool that stops starting tasks within its share while the store does not
// reply.
func TestStoreAwayKeepsShare(t *testing.T) {
	withCap(t, 6, 2, func(c *capRig) {
		c.submitTo(0, 18)
		c.awaitRunning(0, 6, time.Second)
		c.store.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.RequestLost })
		done := c.fleet.Done()
		time.Sleep(2500 * time.Millisecond)
		assert.Assert(t, c.fleet.Done() >= done+10, "%d tasks done without the store", c.fleet.Done()-done)
		c.store.SetFault(nil)
		c.awaitRunning(0, 0, 5*time.Second)
		assert.Equal(t, c.fleet.Done(), 18)
	})
}

// Guards against starts in the share of the former owner before its runs are known.
func TestTakeoverCountsInheritedShare(t *testing.T) {
	withCap(t, 6, 1, func(c *capRig) {
		c.runFor(20 * time.Second)
		c.submitTo(0, 4)
		c.awaitRunning(0, 4, time.Second)
		for _, w := range c.workerInfos {
			c.fleet.SetPartitioned(w.ID, true)
		}
		c.callOnLoop(c.pools[poolName(0)].Stop)
		c.addWorkersTo(poolName(0), 2)
		o := c.startPool(poolName(0), 1)
		time.Sleep(500 * time.Millisecond)
		c.submitTo(0, 6)
		time.Sleep(time.Second)
		o.callOnLoop(func() {
			assert.Assert(t, o.unaccountedWorkers > 0)
			state := o.caps.byName[testWorkspace]
			assert.Assert(t, state.inherited.CPU >= 4*milliPerCore)
			assert.Assert(t, state.use(false) >= caps.ShareOf(state.inherited, state.limit))
			assert.Assert(t, state.use(false) <= caps.Whole)
		})
		assert.Assert(t, c.fleet.Running() <= 6)
		for _, w := range c.workerInfos {
			c.fleet.SetPartitioned(w.ID, false)
		}
		c.awaitRunning(0, 6, 8*time.Second)
	})
}

// Guards against starts in a pool that is within its share while runs of another pool's
// former owner, which are not accounted for, exceed a cap that was lowered.
func TestTakeoverKeepsOveruse(t *testing.T) {
	withCap(t, 12, 2, func(c *capRig) {
		c.runFor(20 * time.Second)
		c.submitTo(1, 1)
		waiting := simpleJob(5000, 8)
		waiting.Workspace, waiting.Steps[0].RequiredLabel = testWorkspace, "no worker has this label"
		c.submitTo(0, 8)
		c.awaitRunning(0, 8, time.Second)
		assert.Equal(t, c.submit(c.pools[poolName(1)], waiting).Code, OK)
		time.Sleep(200 * time.Millisecond)
		c.setCap(6)
		time.Sleep(500 * time.Millisecond)
		for _, w := range c.workerInfos {
			if w.Pool == poolName(0) {
				c.fleet.SetPartitioned(w.ID, true)
			}
		}
		c.callOnLoop(c.pools[poolName(0)].Stop)
		c.startPool(poolName(0), 2)
		time.Sleep(time.Second)
		c.submitTo(1, 4)
		time.Sleep(time.Second)
		assert.Equal(t, c.running(1), 1, "%+v", c.record())
	})
}

// Guards against an unreadable row that stops a workspace, and against starts while it
// cannot be read.
func TestUnreadableShareRowIsRepaired(t *testing.T) {
	withCap(t, 4, 1, func(c *capRig) {
		c.submitTo(0, 2)
		c.awaitRunning(0, 2, time.Second)
		c.store.Put(rows.Row{Key: shareKey(testWorkspace), Value: []byte{0xff, 0xff}})
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, c.recorded(eventlog.CapRowUnreadable))
		c.submitTo(0, 6)
		c.awaitRunning(0, 4, 3*time.Second)
	})
}

// Guards against shares that stay reserved for a pool whose new owner has no jobs of the
// workspace.
func TestTakeoverReturnsUnusedShare(t *testing.T) {
	withCap(t, 6, 2, func(c *capRig) {
		c.submitTo(0, 6)
		c.awaitRunning(0, 6, time.Second)
		c.awaitRunning(0, 0, 3*time.Second)
		c.callOnLoop(c.pools[poolName(0)].Stop)
		time.Sleep(time.Second)
		c.startPool(poolName(0), 2)
		c.submitTo(1, 12)
		c.awaitRunning(1, 6, testLease+3*time.Second)
	})
}

// Guards against a share that is returned although a start order on its way to a removed
// worker may still be carried out by the next worker of that ID.
func TestUnansweredStartKeepsShare(t *testing.T) {
	withCap(t, 4, 1, func(c *capRig) {
		c.runFor(20 * time.Second)
		c.submitTo(0, 1)
		c.awaitRunning(0, 1, time.Second)
		o := c.pools[poolName(0)]
		o.callOnLoop(func() {
			state := o.caps.byName[testWorkspace]
			used := state.use(true)
			for _, w := range o.workers {
				for _, a := range w.attempts {
					o.addUnansweredStart(a, o.opts.Clock())
					o.removeWorker(w, "test")
				}
			}
			assert.Check(t, state.use(true) >= used, "before the next check")
			for _, js := range o.jobs {
				o.forgetJob(js)
			}
			o.refreshDemand()
			assert.Check(t, state.use(true) >= used, "after the end of the job")
		})
	})
}

// Guards against starts above a cap, and shares that are lost, under random faults of the
// store and the workers while owners change.
func TestRandomFaultsUnderCap(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withCap(t, 6, 3, func(c *capRig) { runRandomFaultsUnderCap(c, rand.New(rand.NewPCG(seed, 3))) })
		})
	}
}

func runRandomFaultsUnderCap(c *capRig, rng *rand.Rand) {
	c.fleet.SetRunPlan(func(ref job.TaskRef, run int) workertest.RunPlan {
		return workertest.RunPlan{Duration: time.Duration(100+(len(ref.String())*131+run*977+int(ref.Job[15])*613)%1500) * time.Millisecond}
	})
	const rounds = 25
	for range rounds {
		pool := rng.IntN(3)
		o := c.pools[poolName(pool)]
		for range rng.IntN(8) {
			c.next++
			j := simpleJob(c.next, 1+rng.IntN(3))
			j.Workspace, j.Steps[0].Gang = testWorkspace, rng.IntN(3) == 0
			c.submit(o, j)
		}
		time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
		info := c.workerInfos[rng.IntN(len(c.workerInfos))]
		switch rng.IntN(8) {
		case 0, 1:
			c.setFault(rowstest.Fault(rng.IntN(5)))
		case 2:
			c.fleet.SetPartitioned(info.ID, true)
		case 3, 4:
			c.fleet.SetPartitioned(info.ID, false)
		case 5:
			o.callOnLoop(o.Stop)
			c.startPool(poolName(pool), 3)
		case 6:
			c.setFault(rowstest.NoFault)
			changed := 3 + rng.IntN(4)
			c.setCores(max(c.capCores(), changed))
			for _, o := range c.pools {
				o.callOnLoop(func() { o.SetWorkspaces(capTable(changed)) })
			}
			// The higher cap counts while owners learn of the lower one and of overuse.
			time.Sleep(commitTimeout + time.Second)
			c.setCores(changed)
		case 7:
			c.setCap(6)
		}
	}
	c.setFault(rowstest.NoFault)
	for _, info := range c.workerInfos {
		c.fleet.SetPartitioned(info.ID, false)
	}
	c.setCap(6)
	c.awaitJobsEnded(completionTimeout)
	c.runFor(5 * time.Second)
	c.submitTo(1, 6)
	c.awaitRunning(1, 6, 4*time.Second)
}
