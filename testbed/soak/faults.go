package soak

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/jobs/worker/workertest"
	"peridotcrank.dev/testbed/standin"
)

const (
	defaultFaultGap    = 1200 * time.Millisecond
	maxFaultDuration   = 6 * time.Second
	minFaultDuration   = 300 * time.Millisecond
	minPause           = time.Second
	maxPause           = 8 * time.Second
	faultyCallInterval = 3 // One in this many commits and orders gets the fault in force.
	// heartbeatInterval is the longest time until the registry lists a restarted worker.
	heartbeatInterval = 1500 * time.Millisecond
	// headTable is the table in which the owner of each pool is recorded.
	headTable = "head"
)

func (r *run) installFaults() {
	var commits, orders atomic.Uint64
	r.platform.Store.SetFault(func(rows.Tx) rowstest.Fault {
		if commits.Add(1)%faultyCallInterval != 0 {
			return rowstest.NoFault
		}
		return rowstest.Fault(r.storeFault.Load())
	})
	r.platform.Fleet.SetFault(func(id worker.ID, _ string) workertest.Fault {
		if r.lateOrders.areDelayed(id) {
			return workertest.Delayed
		}
		if orders.Add(1)%faultyCallInterval != 0 {
			return workertest.NoFault
		}
		return workertest.Fault(r.orderFault.Load())
	})
}

// injectFault starts a random fault, which ends after a random time. Faults can overlap.
func (r *run) injectFault(rng *rand.Rand, faults *sync.WaitGroup) {
	starters := r.faultStarters(rng)
	names := r.options.Faults
	if len(names) == 0 {
		names = faultNames
	}
	name := names[rng.IntN(len(names))]
	duration := randomDuration(rng, minFaultDuration, maxFaultDuration)
	switch name {
	case outageFault:
		duration = maxFaultDuration
	case pauseFault, crowdFault:
		duration = randomDuration(rng, minPause, maxPause)
	case powerFault:
		duration = minPowerOff
	case slowFault:
		duration = randomDuration(rng, minSlow, maxSlow)
	case lateFault:
		duration = randomDuration(rng, minLateSpan, maxLateSpan)
	case heldUpFault, lullFault:
		duration = randomDuration(rng, minBriefFault, maxBriefFault)
	case recutFault, recutKillFault:
		duration = randomDuration(rng, minRecut, maxRecut)
	case rebornCutFault:
		duration = randomDuration(rng, minRebornCut, maxRebornCut)
	case staleReadFault:
		duration = randomDuration(rng, minStaleRead, maxStaleRead)
	}
	startFault := starters[name]
	if startFault == nil {
		return
	}
	disturbing := isDisturbance(name)
	if disturbing {
		r.calm.disturb()
	}
	target, endFault := startFault()
	r.logFault("%s %s for %v", name, target, duration.Round(time.Millisecond))
	if isMomentary(name) {
		duration = 0
	}
	faults.Go(func() {
		time.Sleep(duration)
		endFault()
		if disturbing {
			r.calm.settle()
		}
	})
}

func randomDuration(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
}

var faultNames = []string{
	pauseFault, starveFault, "kill", "stop", "link", "reset", "store", "orders", "dark", "cut", "reborn", restartFault, "configuration", "keys", outageFault,
	moveFault, "odd", powerFault, crowdFault, onewayFault,
}

// moveFault sends the queue of a pool to another pool and puts it back later.
const moveFault = "move"

// pauseFault suspends a process. It can last longer than the leases of workers.
const pauseFault = "pause"

// starveFault makes a process short of CPU.
const starveFault = "starve"

// restartFault restarts up to half of the workers of a pool under their IDs. Their entries in
// the registry follow later, one after the other.
const restartFault = "restart"

// onewayFault cuts the owner of a pool off from the replies of the workers, which carry its
// orders out.
const onewayFault = "oneway"

// outageFault disconnects all processes from the store. It always lasts maxFaultDuration, so
// that calls are sent later than revokeTime after the key that it removes.
const outageFault = "outage"

// faultStarters returns the functions that start each kind of fault, by name, for a random
// process and worker. Such a function returns the target of the fault and a function that
// ends the fault.
func (r *run) faultStarters(rng *rand.Rand) map[string]func() (string, func()) {
	poolNumber := rng.IntN(r.options.Pools)
	pool := poolName(poolNumber)
	p := r.chooseProcess(rng, pool)
	workerNumber := rng.IntN(r.options.Workers)
	id := workerID(pool, workerNumber)
	faultNumber := rng.IntN(1 << 20)
	noop := func() {}
	restart := func() {
		if err := p.start(); err != nil {
			r.callers.recordViolation("restart process: %v", err)
		}
	}
	return map[string]func() (string, func()){
		pauseFault: func() (string, func()) {
			p.signal(syscall.SIGSTOP)
			return p.name, func() { p.signal(syscall.SIGCONT) }
		},
		starveFault: func() (string, func()) {
			ctx, cancel := context.WithCancel(context.Background())
			go p.starve(ctx, mildShortage)
			return p.name, cancel
		},
		"kill": func() (string, func()) {
			p.terminate(syscall.SIGKILL, killTimeout)
			restart()
			return p.name, noop
		},
		"stop": func() (string, func()) {
			began := time.Now()
			if p.terminate(syscall.SIGTERM, gracefulStopTimeout) && !p.wasSuspendedSince(began) {
				r.callers.recordViolation("%s did not stop within %v", p.name, gracefulStopTimeout)
			}
			restart()
			return p.name, noop
		},
		"link": func() (string, func()) {
			fault := linkFault(1 + faultNumber%int(linkFaults-1))
			p.storeProxy.setFault(fault)
			return fmt.Sprintf("%s %d", p.name, fault), func() { p.storeProxy.setFault(linkHealthy) }
		},
		powerFault: func() (string, func()) {
			r.killAll()
			return "", func() { r.startAll(rand.New(rand.NewPCG(uint64(faultNumber), 1))) }
		},
		slowFault: func() (string, func()) {
			delay := minSlowReply + time.Duration(faultNumber)*time.Millisecond%(maxSlowReply-minSlowReply)
			r.platform.SetReplyDelay(delay)
			return fmt.Sprint("replies after ", delay), func() { r.platform.ClearReplyDelay(delay) }
		},
		crowdFault:  func() (string, func()) { return r.crowd(faultNumber) },
		seriesFault: func() (string, func()) { return r.restartInSeries(pool, rand.New(rand.NewPCG(uint64(faultNumber), 2))) },
		heldUpFault: func() (string, func()) {
			return r.holdUpAndRestart(pool, rand.New(rand.NewPCG(uint64(faultNumber), 3)))
		},
		recutFault: func() (string, func()) {
			return r.restartAndCut(pool, rand.New(rand.NewPCG(uint64(faultNumber), 4)), false)
		},
		recutKillFault: func() (string, func()) {
			return r.restartAndCut(pool, rand.New(rand.NewPCG(uint64(faultNumber), 4)), true)
		},
		staleReadFault: func() (string, func()) {
			return r.holdReadsAndKill(poolNumber, rand.New(rand.NewPCG(uint64(faultNumber), 5)))
		},
		rebornCutFault: func() (string, func()) {
			cutRandom := rand.New(rand.NewPCG(uint64(faultNumber), 6))
			return r.startRebornCut(r.drawRebornCut(poolNumber, cutRandom), cutRandom)
		},
		lossFault: func() (string, func()) { return r.loseReplies(pool) },
		lullFault: r.suspendLoad,
		slowStoreFault: func() (string, func()) {
			r.setStoreLinks(linkDelayed)
			return "", func() { r.setStoreLinks(linkHealthy) }
		},
		lateFault: func() (string, func()) {
			r.lateOrders.delay(id, true)
			return string(id), func() {
				r.restartWorker(id, standin.Restart{CloseConnections: faultNumber%2 == 0})
				r.lateOrders.delay(id, false)
			}
		},
		outageFault: func() (string, func()) {
			r.setStoreLinks(linkDropAll)
			r.replaceKey(0)
			return workspaceName(0), func() { r.setStoreLinks(linkHealthy) }
		},
		"reset": func() (string, func()) { p.storeProxy.reset(); return p.name, noop },
		"store": func() (string, func()) {
			r.storeFault.Store(int32(1 + faultNumber%int(rowstest.Delayed)))
			return fmt.Sprint(r.storeFault.Load()), func() { r.storeFault.Store(0) }
		},
		"orders": func() (string, func()) {
			r.orderFault.Store(int32(1 + faultNumber%int(workertest.RequestLost)))
			return fmt.Sprint(r.orderFault.Load()), func() { r.orderFault.Store(0) }
		},
		"dark": func() (string, func()) {
			r.platform.Fleet.SetPartitioned(id, true)
			return string(id), func() { r.platform.Fleet.SetPartitioned(id, false) }
		},
		"cut": func() (string, func()) {
			r.platform.CutOwner(pool)
			return pool, func() { r.platform.ReconnectOwner(pool) }
		},
		onewayFault: func() (string, func()) {
			r.platform.CutReplies(pool)
			return pool, func() { r.platform.ReconnectOwner(pool) }
		},
		"reborn": func() (string, func()) {
			r.restartWorker(id, standin.Restart{})
			return string(id), noop
		},
		restartFault: func() (string, func()) {
			count := 1 + faultNumber/2%max(r.options.Workers/2, 1)
			restart := standin.Restart{CloseConnections: faultNumber%2 == 0}
			for i := range count {
				// The heartbeats of workers are not synchronized.
				restart.RegisterAfter = heartbeatInterval * time.Duration(i+1) / time.Duration(count)
				r.restartWorker(workerID(pool, (workerNumber+i)%r.options.Workers), restart)
			}
			return fmt.Sprintf("%d workers from %s, connections closed %v", count, id, restart.CloseConnections), noop
		},
		"configuration": func() (string, func()) {
			if err := r.configure(); err != nil {
				r.callers.recordViolation("configure: %v", err)
			}
			return "", noop
		},
		moveFault: func() (string, func()) {
			to := (poolNumber + 1 + faultNumber%max(r.options.Pools-1, 1)) % r.options.Pools
			r.moveQueue(poolNumber, to)
			return fmt.Sprintf("queue of %s to %s", pool, poolName(to)), func() { r.moveQueue(poolNumber, poolNumber) }
		},
		"odd": func() (string, func()) {
			r.platform.PutOddEntries(pool, fmt.Sprint("odd-", faultNumber))
			return pool, noop
		},
		"keys": func() (string, func()) {
			workspace := faultNumber % workspaceCount
			r.replaceKey(workspace)
			return workspaceName(workspace), noop
		},
	}
}

func workerID(pool string, number int) worker.ID {
	return worker.ID(fmt.Sprintf("w-%s-%d", pool, number))
}

func (r *run) restartWorker(id worker.ID, restart standin.Restart) {
	if err := r.platform.RestartWorker(id, restart); err != nil {
		r.callers.recordViolation("restart worker: %v", err)
	}
}

// chooseProcess returns the owner of a pool or any process, each half of the time.
func (r *run) chooseProcess(rng *rand.Rand, pool string) *process {
	chosen := r.processes[rng.IntN(len(r.processes))]
	if rng.IntN(2) == 0 {
		return chosen
	}
	return cmp.Or(r.owner(pool), chosen)
}

// owner returns the process that the head row of a pool names as its owner, or nil.
func (r *run) owner(pool string) *process {
	page, err := r.platform.Store.Read(context.Background(), headTable, pool, "")
	if err != nil || len(page.Rows) == 0 {
		return nil
	}
	for _, p := range r.processes {
		// The row names the owner as MEMBER/FENCE.
		if bytes.Contains(page.Rows[0].Value, []byte(p.name+"/")) {
			return p
		}
	}
	return nil
}

// setStoreLinks applies a fault to the connections of all processes to the store.
func (r *run) setStoreLinks(fault linkFault) {
	for _, p := range r.processes {
		p.storeProxy.setFault(fault)
	}
}

// replaceKey removes the older key of a workspace and adds a new one.
func (r *run) replaceKey(workspace int) {
	if err := r.keys.replace(workspace, r.writeConfig); err != nil {
		r.callers.recordViolation("configure: %v", err)
	}
}
