package failover

import (
	"sync"
	"time"
)

const (
	// minHedgeDelay is several times the response time of a healthy store.
	minHedgeDelay = 15 * time.Millisecond
	// maxHedgeDelay leaves time for a second attempt within the timeout of a call.
	maxHedgeDelay = 400 * time.Millisecond
	// meanWeight and deviationWeight are those of TCP's round-trip time estimator (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
)

// latency estimates the response time of one kind of call.
type latency struct {
	mu        sync.Mutex
	mean      float64 // Nanoseconds; 0 before the first reply.
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

// hedgeDelay returns the time without a reply after which a hedged attempt starts.
func (l *latency) hedgeDelay() time.Duration {
	return min(max(l.expected(), minHedgeDelay), maxHedgeDelay)
}

// expected returns the time within which nearly all replies arrive; 0 before the first one.
func (l *latency) expected() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.mean + deviationFactor*l.deviation)
}
