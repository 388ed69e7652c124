package rowsrelay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// failedPeerBackoff is how long a peer that failed to relay a call is used only when no
// other one is left. Cuts last for seconds, and each attempt through a silent peer costs
// minNextPeerDelay.
const failedPeerBackoff = 3 * time.Second

// peerSet chooses the peers through which calls are relayed. It is safe for concurrent
// use; the zero value has no peers.
type peerSet struct {
	mu          sync.Mutex
	addresses   []string
	current     string // The last peer that replied; empty after it failed.
	failedUntil map[string]time.Time
}

func (p *peerSet) set(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = addresses
	if !slices.Contains(addresses, p.current) {
		p.current = ""
	}
	for address := range p.failedUntil {
		if !slices.Contains(addresses, address) {
			delete(p.failedUntil, address)
		}
	}
}

// choose returns up to n peers in the order in which they are to be tried: the one that
// replied last, the others in random order, and at the end those that failed recently.
func (p *peerSet) choose(n int, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	rank := func(address string) int {
		switch {
		case address == p.current:
			return 0
		case now.Before(p.failedUntil[address]):
			return 2
		}
		return 1
	}
	order := slices.Clone(p.addresses)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slices.SortStableFunc(order, func(a, b string) int { return rank(a) - rank(b) })
	return order[:min(n, len(order))]
}

func (p *peerSet) markAnswered(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = address
	delete(p.failedUntil, address)
}

// markFailed records that peers did not relay a call.
func (p *peerSet) markFailed(now time.Time, addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failedUntil == nil {
		p.failedUntil = map[string]time.Time{}
	}
	for _, address := range addresses {
		if p.current == address {
			p.current = ""
		}
		p.failedUntil[address] = now.Add(failedPeerBackoff)
	}
}
