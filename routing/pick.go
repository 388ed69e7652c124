package routing

import (
	"math/bits"
	"time"

	"peridotcrank.dev/fleet"
)

// choice ranks a backend server for a request; the lowest is chosen.
type choice struct {
	shared  int  // Failure domain shared with an earlier attempt.
	suspect bool // Recent failures.
	remote  bool // In another availability zone, while the pool is local.
	busy    int  // Requests of this process.
}

// Failure domains shared with an earlier attempt, from none to the VM itself.
const (
	sharedNothing = iota
	sharedZone
	sharedRack
	sharedVM
)

func (c choice) better(other choice) bool {
	switch {
	case c.shared != other.shared:
		return c.shared < other.shared
	case c.suspect != other.suspect:
		return !c.suspect
	case c.remote != other.remote:
		return !c.remote
	}
	return c.busy < other.busy
}

// shared returns the closest failure domain that the VM shares with a target.
func shared(vm *fleet.VM, avoid []Target) int {
	domain := sharedNothing
	for i := range avoid {
		t := &avoid[i]
		switch {
		case t.VM == vm.ID:
			return sharedVM
		case t.Rack == vm.Rack && t.Zone == vm.Zone:
			domain = sharedRack
		case t.Zone == vm.Zone:
			domain = max(domain, sharedZone)
		}
	}
	return domain
}

// pick chooses a backend server with a free slot, or returns nil. The scan
// starts at a random place, so that equal choices share the load.
func (p *pool) pick(now time.Time, avoid []Target, start uint64) *backend {
	n := len(p.backends)
	if n == 0 {
		return nil
	}
	var best *backend
	var bestChoice choice
	var total load
	stay := false // A local backend server could take the request.
	for i, at := 0, int(start%uint64(n)); i < n; i, at = i+1, at+1 {
		if at == n {
			at = 0
		}
		b := p.backends[at]
		if p.spill.active {
			total.add(b)
		}
		if b.worker.Free() == 0 {
			continue
		}
		busy := bits.OnesCount64(b.worker.Busy())
		if !b.health.admits(now, busy) {
			continue
		}
		stay = stay || b.near
		c := choice{shared(&b.vm, avoid), b.health.suspect(now), !b.near && !p.spill.active, busy}
		if best == nil || c.better(bestChoice) {
			best, bestChoice = b, c
		}
	}
	p.spill.update(now, total, best != nil && bestChoice.remote && !stay)
	return best
}
