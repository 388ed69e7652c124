package admission

import (
	"time"

	"peridotcrank.dev/fleet"
)

// Reason is the result of Enqueue: why a request was refused, or Admitted.
type Reason uint8

// Results of Enqueue.
const (
	Admitted            Reason = iota // The request was not refused.
	QueueFull                         // The service has too many requests waiting.
	DeadlineUnreachable               // The request is not expected to complete before its deadline.
)

// Queue is a priority queue of the waiting requests of one pool. It is not safe
// for concurrent use.
type Queue[V any] struct {
	options      Options
	order        tree[V]
	services     map[fleet.ServiceName]*serviceState[V]
	fairRounds   fairRounds
	serviceTimes durationEstimate
	slots        int
	sequence     uint64
}

// serviceState holds the waiting requests and the service times of one service.
type serviceState[V any] struct {
	waiting      tree[V]
	serviceTimes durationEstimate
}

// New returns an empty Queue, or an error when the options are invalid.
func New[V any](o Options) (*Queue[V], error) {
	o = o.WithDefaults()
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return &Queue[V]{options: o, services: map[fleet.ServiceName]*serviceState[V]{}, fairRounds: newFairRounds(o.RoundSize)}, nil
}

// SetSlots sets the number of slots that serve the queue. The estimates of
// waiting times use it.
func (q *Queue[V]) SetSlots(n int) { q.slots = n }

// Len returns the number of waiting requests.
func (q *Queue[V]) Len() int { return q.order.len() }

// ObserveServiceTime records how long a request of the service held a slot.
// A duration that is not positive is ignored.
func (q *Queue[V]) ObserveServiceTime(name fleet.ServiceName, d time.Duration) {
	if d <= 0 {
		return
	}
	q.serviceTimes.observe(d, q.options.Smoothing)
	q.serviceState(name).serviceTimes.observe(d, q.options.Smoothing)
}

// MissesDeadline reports whether a request that starts at the time now is
// expected to complete after its deadline.
func (q *Queue[V]) MissesDeadline(now time.Time, r Request) bool {
	return !r.Deadline.IsZero() && now.Add(q.ServiceTime(r.Service)).After(r.Deadline)
}

// ServiceTime returns an upper estimate of the service time, which most requests
// of the service stay below, or 0 when none was observed.
func (q *Queue[V]) ServiceTime(name fleet.ServiceName) time.Duration {
	if s := q.services[name]; s != nil {
		return s.serviceTimes.upperBound()
	}
	return 0
}

// RetryAfter returns the expected time until all waiting requests have started,
// within the bounds of the options. A refused caller should retry no earlier.
func (q *Queue[V]) RetryAfter() time.Duration {
	d := expectedWait(q.Len(), q.slots, q.serviceTimes.mean)
	return min(max(d, q.options.MinRetryAfter), q.options.MaxRetryAfter)
}

// Enqueue adds a request, or returns the reason for refusing it. When the
// service has too many waiting requests, the new request replaces the one that
// would be served last, provided that it would be served before that one. The
// replaced entry is returned as displaced and is no longer queued.
func (q *Queue[V]) Enqueue(now time.Time, r Request, v V) (added, displaced *Entry[V], refused Reason) {
	q.sequence++
	e := &Entry[V]{Request: r, Value: v, sortKey: sortKey{r.Urgency, q.fairRounds.nextRound(r), r.Deadline, q.sequence}}
	if q.MissesDeadline(now.Add(expectedWait(q.order.rank(e.sortKey), q.slots, q.serviceTimes.mean)), r) {
		return nil, nil, DeadlineUnreachable
	}
	s := q.serviceState(r.Service)
	if s.waiting.len() >= q.maxQueue(r) {
		displaced = s.waiting.last()
		if displaced == nil || displaced.sortKey.compare(e.sortKey) < 0 {
			return nil, nil, QueueFull
		}
		q.Remove(displaced)
	}
	q.fairRounds.recordEnqueued(r)
	q.order.insert(e)
	s.waiting.insert(e)
	e.queued = true
	return e, displaced, Admitted
}

// maxQueue returns the bound on the waiting requests of the request's service.
func (q *Queue[V]) maxQueue(r Request) int {
	if r.MaxQueue > 0 {
		return r.MaxQueue
	}
	return q.options.MaxQueue
}

// Peek returns the request to be served next without removing it, or nil when
// the queue is empty.
func (q *Queue[V]) Peek() *Entry[V] { return q.order.first() }

// Dequeue removes and returns the request to be served next, or nil when the
// queue is empty.
func (q *Queue[V]) Dequeue() *Entry[V] {
	e := q.order.first()
	if e != nil {
		q.Remove(e)
		q.fairRounds.recordServed(e.sortKey.urgency, e.sortKey.round)
	}
	return e
}

// Remove removes an entry from the queue. It returns false when the entry is
// not queued.
func (q *Queue[V]) Remove(e *Entry[V]) bool {
	if !e.queued {
		return false
	}
	e.queued = false
	q.order.remove(e)
	q.serviceState(e.Request.Service).waiting.remove(e)
	return true
}

// serviceState returns the state of a service and creates it on first use.
func (q *Queue[V]) serviceState(name fleet.ServiceName) *serviceState[V] {
	s := q.services[name]
	if s == nil {
		s = &serviceState[V]{}
		q.services[name] = s
	}
	return s
}
