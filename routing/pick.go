package routing

import (
	"math/bits"
	"time"

	"peridotcrank.dev/fleet"
)

// rank orders the backend servers for a request. The fields are compared from the
// first to the last, and the lowest rank is chosen.
type rank struct {
	sharedDomain int  // Closest failure domain shared with an earlier attempt.
	suspect      bool // Has failed recently.
	remote       bool // In another availability zone, while the pool does not spill.
	busy         int  // Running requests of this process.
}

// Failure domains shared with an earlier attempt, from none to the VM itself.
const (
	sharedNothing = iota
	sharedZone
	sharedRack
	sharedVM
)

// betterThan reports whether a backend server of rank c is preferred to one of rank other.
func (c rank) betterThan(other rank) bool {
	switch {
	case c.sharedDomain != other.sharedDomain:
		return c.sharedDomain < other.sharedDomain
	case c.suspect != other.suspect:
		return !c.suspect
	case c.remote != other.remote:
		return !c.remote
	}
	return c.busy < other.busy
}

// closestSharedDomain returns the closest failure domain that the VM shares with
// any of the targets.
func closestSharedDomain(vm *fleet.VM, avoid []Target) int {
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

// pick returns the backend server of the lowest rank that has a free slot, or nil.
// start is a random number that sets the start of the scan, so that backend
// servers of equal rank share the load.
func (p *pool) pick(now time.Time, avoid []Target, start uint64) *backend {
	n := len(p.backends)
	if n == 0 {
		return nil
	}
	var best *backend
	var bestRank rank
	var total load
	localAvailable := false // A local backend server has a free slot.
	for i, index := 0, int(start%uint64(n)); i < n; i, index = i+1, index+1 {
		if index == n {
			index = 0
		}
		b := p.backends[index]
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
		localAvailable = localAvailable || b.zoneLocal
		c := rank{closestSharedDomain(&b.vm, avoid), b.health.suspect(now), !b.zoneLocal && !p.spill.active, busy}
		if best == nil || c.betterThan(bestRank) {
			best, bestRank = b, c
		}
	}
	p.spill.update(now, total, best != nil && bestRank.remote && !localAvailable)
	return best
}
