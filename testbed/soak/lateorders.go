package soak

import (
	"sync"
	"time"

	"peridotcrank.dev/jobs/worker"
)

// lateFault delays all orders to a worker, which restarts before they are carried out, so that
// its next incarnation carries them out. It is only injected when it is named.
const lateFault = "late"

const (
	minLateSpan = 200 * time.Millisecond
	maxLateSpan = time.Second
	// lateDelay is longer than the time until a restarted worker has ended its first runs.
	lateDelay = 2500 * time.Millisecond
)

// lateOrders are the workers whose orders are delayed.
type lateOrders struct {
	mu      sync.Mutex
	workers map[worker.ID]int // Number of faults.
}

func (l *lateOrders) delay(id worker.ID, delayed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.workers == nil {
		l.workers = map[worker.ID]int{}
	}
	if delayed {
		l.workers[id]++
	} else {
		l.workers[id]--
	}
}

func (l *lateOrders) areDelayed(id worker.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.workers[id] > 0
}
