package ingress

import (
	"sync"
	"time"

	"peridotcrank.dev/jobs/jobpb"
)

const (
	// longOutageAge is the age from which an outage is expected to last for seconds more.
	longOutageAge = 2 * time.Second
	// longRetryAfter is the Retry-After during a long outage.
	longRetryAfter = 2 * time.Second
	// maxRefusalGap is the longest time between two refusals of one outage. It is longer than
	// the time in which refused callers try again.
	maxRefusalGap = 5 * time.Second
)

// outages records since when the submissions to each shard have been refused, and chooses
// the Retry-After of refusals.
//
// Callers retry only a few times. With one second between the attempts, those of the first
// seconds of an outage of 4 to 8 s would give up just before it ends. It is safe for
// concurrent use.
type outages struct {
	mu      sync.Mutex
	byShard map[string]outage
}

// outage is a sequence of refusals without an accepted submission in between.
type outage struct{ firstRefusal, lastRefusal time.Time }

// adjustRetryAfter records the reply to a submission and raises its Retry-After when the
// shard has refused submissions for longOutageAge.
func (o *outages) adjustRetryAfter(shard string, reply *jobpb.Reply, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch reply.Code {
	case jobpb.Code_CODE_REFUSED:
	case jobpb.Code_CODE_OK, jobpb.Code_CODE_LIMITED:
		delete(o.byShard, shard)
		return
	default:
		return
	}
	if o.byShard == nil {
		o.byShard = map[string]outage{}
	}
	current, known := o.byShard[shard]
	if !known || now.Sub(current.lastRefusal) > maxRefusalGap {
		current.firstRefusal = now
	}
	current.lastRefusal = now
	o.byShard[shard] = current
	if now.Sub(current.firstRefusal) >= longOutageAge {
		reply.RetryAfterMs = max(reply.RetryAfterMs, longRetryAfter.Milliseconds())
	}
}
