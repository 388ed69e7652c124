package soak

import (
	"slices"
	"sync"
	"time"

	"peridotcrank.dev/jobs/worker/workertest"
)

// calm tells whether nothing disturbs workers, connections and processes. A process that is
// short of CPU or handles replies late is no disturbance.
type calm struct {
	fleet *workertest.Fleet

	mu         sync.Mutex
	disruptive int // Number of disturbances that are in force or ended less than calmAfter ago.
}

// calmAfter is the time after a disturbance from which listed ends count as noted.
const calmAfter = 3 * time.Second

func (c *calm) disturb() { c.add(1) }

// settle ends a disturbance.
func (c *calm) settle() { time.AfterFunc(calmAfter, func() { c.add(-1) }) }

func (c *calm) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disruptive += n
	c.fleet.WithLock(func() { c.fleet.NoteListedEnds = c.disruptive == 0 })
}

// isDisturbance reports whether a kind of fault is a disturbance.
func isDisturbance(fault string) bool {
	return !slices.Contains([]string{starveFault, crowdFault, slowFault, "configuration", "keys", moveFault, "odd", lullFault}, fault)
}

// isMomentary reports whether a kind of fault is over once it has started.
func isMomentary(fault string) bool {
	return slices.Contains([]string{"kill", "stop", "reset", "reborn"}, fault)
}
