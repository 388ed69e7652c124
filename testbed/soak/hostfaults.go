package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Faults that hit many processes at the same time, as when their host fails.

// powerFault kills all processes at the same moment. Each starts again minPowerOff to
// maxPowerOff later.
const powerFault = "power"

const (
	minPowerOff = 500 * time.Millisecond
	maxPowerOff = 3 * time.Second
)

func (r *run) killAll() {
	var group sync.WaitGroup
	for _, p := range r.processes {
		group.Go(func() { p.terminate(syscall.SIGKILL, killTimeout) })
	}
	group.Wait()
}

// startAll starts each process after a random time and returns when all have started.
func (r *run) startAll(rng *rand.Rand) {
	var group sync.WaitGroup
	for _, p := range r.processes {
		delay := randomDuration(rng, 0, maxPowerOff-minPowerOff)
		group.Go(func() {
			time.Sleep(delay)
			if err := p.start(); err != nil {
				r.callers.recordViolation("restart process: %v", err)
			}
		})
	}
	group.Wait()
}

// crowdFault makes all processes, or the owners of all pools, short of CPU at the same time.
const crowdFault = "crowd"

// crowd starts a crowdFault. number selects the processes and how short of CPU they are.
func (r *run) crowd(number int) (target string, end func()) {
	processes, target := r.processes, "all"
	if number%2 == 0 {
		processes, target = r.owners(), "owners"
	}
	level := severeShortages[number/2%len(severeShortages)]
	target += fmt.Sprintf(" to %v in %v", level.turn, level.suspension+level.turn)
	ctx, cancel := context.WithCancel(context.Background())
	for _, p := range processes {
		go p.starve(ctx, level)
	}
	return target, cancel
}

// slowFault delays the replies of all workers, as for owners that handle them late. They can be
// later than the timeouts of orders and holds for longer than the leases of workers. It is only
// injected when it is named.
const slowFault = "slow"

const (
	minSlowReply = 300 * time.Millisecond
	maxSlowReply = 2 * time.Second
	minSlow      = 5 * time.Second
	maxSlow      = 12 * time.Second
)

// owners returns the processes that own a pool.
func (r *run) owners() (owners []*process) {
	for pool := range r.options.Pools {
		if p := r.owner(poolName(pool)); p != nil && !slices.Contains(owners, p) {
			owners = append(owners, p)
		}
	}
	return owners
}
