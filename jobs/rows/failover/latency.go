package failover

import (
	"sync"
	"time"
)

const (
	// leastDelay is several times what a sound store takes to answer.
	leastDelay = 15 * time.Millisecond
	// mostDelay leaves time for a second try within the time of a call.
	mostDelay = 400 * time.Millisecond
	// meanWeight and deviationWeight are those of TCP's round-trip estimate (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
)

// latency estimates how long a call of one kind takes to be answered.
type latency struct {
	mu        sync.Mutex
	mean      float64 // Nanoseconds; 0 before the first answer.
	deviation float64
}

func (l *latency) observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := float64(took)
	if l.mean == 0 {
		l.mean, l.deviation = t, t/2
		return
	}
	l.deviation += deviationWeight * (max(t-l.mean, l.mean-t) - l.deviation)
	l.mean += meanWeight * (t - l.mean)
}

// delay is the time without an answer from which a second try is made.
func (l *latency) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(time.Duration(l.mean+deviations*l.deviation), leastDelay), mostDelay)
}
