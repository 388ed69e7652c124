package gateway

import (
	"sync"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/routing"
)

// vmGeneration identifies a VM during one generation, in which it stays in one pool.
type vmGeneration struct {
	vm         fleet.VMID
	generation uint64
}

// inFlight counts the requests that each VM may be running. A request is counted
// before its target is rechecked. Once a drain is visible, the recheck therefore
// refuses every request that is not counted yet.
type inFlight struct {
	mu     sync.Mutex
	counts map[vmGeneration]int // Without zero entries.
}

func vmGenerationOf(t routing.Target) vmGeneration { return vmGeneration{t.VM, t.Generation} }

func (f *inFlight) add(k vmGeneration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[k]++
}

func (f *inFlight) remove(k vmGeneration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[k]--; f.counts[k] == 0 {
		delete(f.counts, k)
	}
}

func (f *inFlight) count(k vmGeneration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[k]
}
