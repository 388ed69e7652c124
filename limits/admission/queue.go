package admission

import (
	"time"

	"peridotcrank.dev/fleet"
)

// Reason says why a request is refused.
type Reason uint8

// Reasons for refusing a request.
const (
	Admitted  Reason = iota // The request was not refused.
	QueueFull               // The service has too many requests waiting.
	Deadline                // The request is not expected to end before its deadline.
)

// Queue holds the waiting requests of one pool. It is not safe for concurrent use.
type Queue[V any] struct {
	options  Options
	order    tree[V]
	services map[fleet.ServiceName]*service[V]
	shares   shares
	times    mean
	slots    int
	sequence uint64
}

// service is what the queue knows about one service.
type service[V any] struct {
	waiting tree[V]
	times   mean
}

// New returns an empty Queue.
func New[V any](o Options) (*Queue[V], error) {
	o = o.WithDefaults()
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return &Queue[V]{options: o, services: map[fleet.ServiceName]*service[V]{}, shares: newShares(o.RoundSize)}, nil
}

// SetSlots sets the number of slots that serve the queue, for estimates.
func (q *Queue[V]) SetSlots(n int) { q.slots = n }

// Len returns the number of waiting requests.
func (q *Queue[V]) Len() int { return q.order.len() }

// Observe records the time for which a request of a service held a slot.
func (q *Queue[V]) Observe(name fleet.ServiceName, d time.Duration) {
	if d <= 0 {
		return
	}
	q.times.observe(d, q.options.Smoothing)
	q.service(name).times.observe(d, q.options.Smoothing)
}

// Late reports whether a request that starts now is not expected to end before
// its deadline.
func (q *Queue[V]) Late(now time.Time, t Ticket) bool {
	return !t.Deadline.IsZero() && now.Add(q.Service(t.Service)).After(t.Deadline)
}

// Service returns a service time that most requests of a service stay below,
// or 0 when it is unknown.
func (q *Queue[V]) Service(name fleet.ServiceName) time.Duration {
	if s := q.services[name]; s != nil {
		return s.times.ample()
	}
	return 0
}

// RetryAfter returns the expected time until all waiting requests have started.
func (q *Queue[V]) RetryAfter() time.Duration {
	d := wait(q.Len(), q.slots, q.times.value)
	return min(max(d, q.options.MinRetry), q.options.MaxRetry)
}

// Enter queues a request, or returns the reason for refusing it. When the
// service's queue is full, a request that would be served before the last one
// displaces it; the displaced entry is returned and is no longer queued.
func (q *Queue[V]) Enter(now time.Time, t Ticket, v V) (entered, displaced *Entry[V], refused Reason) {
	q.sequence++
	e := &Entry[V]{Ticket: t, Value: v, key: key{t.Urgency, q.shares.round(t), t.Deadline, q.sequence}}
	if q.Late(now.Add(wait(q.order.rank(e.key), q.slots, q.times.value)), t) {
		return nil, nil, Deadline
	}
	s := q.service(t.Service)
	if s.waiting.len() >= q.bound(t) {
		displaced = s.waiting.last()
		if displaced == nil || displaced.key.compare(e.key) < 0 {
			return nil, nil, QueueFull
		}
		q.Remove(displaced)
	}
	q.shares.charge(t)
	q.order.insert(e)
	s.waiting.insert(e)
	e.queued = true
	return e, displaced, Admitted
}

func (q *Queue[V]) bound(t Ticket) int {
	if t.MaxQueue > 0 {
		return t.MaxQueue
	}
	return q.options.MaxQueue
}

// First returns the request to be served next, or nil, and leaves it queued.
func (q *Queue[V]) First() *Entry[V] { return q.order.first() }

// Next removes the request to be served next and returns it, or nil.
func (q *Queue[V]) Next() *Entry[V] {
	e := q.order.first()
	if e != nil {
		q.Remove(e)
		q.shares.serve(e.key.urgency, e.key.round)
	}
	return e
}

// Remove removes an entry. It reports false when the entry is not queued.
func (q *Queue[V]) Remove(e *Entry[V]) bool {
	if !e.queued {
		return false
	}
	e.queued = false
	q.order.remove(e)
	q.service(e.Ticket.Service).waiting.remove(e)
	return true
}

func (q *Queue[V]) service(name fleet.ServiceName) *service[V] {
	s := q.services[name]
	if s == nil {
		s = &service[V]{}
		q.services[name] = s
	}
	return s
}
