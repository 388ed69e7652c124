package routing

import (
	"context"
	"errors"
	"fmt"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/admission"
)

// Steps of the request path at which the router sheds requests, as named in
// ShedError.
const (
	stepAdmission = "admission"
	stepRouting   = "routing"
)

// fallbackRetryAfter is the RetryAfter of conditions whose duration the router
// cannot estimate: it is stopping, its view is not valid, or the pool has no
// backend server.
const fallbackRetryAfter = time.Second

// waiter is a request in the queue of its pool.
type waiter struct {
	request Request
	outcome chan outcome // Buffered; receives once.
}

// outcome is the result of waiting: a reservation or an error.
type outcome struct {
	granted *reservation
	err     error
}

// Acquire implements Dispatcher. If the deadline of ctx passes, the error is a
// *ShedError, the same as when the request's own deadline cannot be met.
func (r *Router) Acquire(ctx context.Context, request Request) (Reservation, error) {
	granted, entry, err := r.reserveOrQueue(request)
	switch {
	case err != nil:
		return nil, err
	case granted != nil:
		return granted, nil
	}
	return r.awaitOutcome(ctx, entry)
}

// reserveOrQueue reserves a slot if one is free and no request waits. Otherwise it
// queues the request.
func (r *Router) reserveOrQueue(request Request) (*reservation, *admission.Entry[*waiter], error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	p := r.pools[request.Pool]
	switch {
	case r.closed:
		return nil, nil, newShedError(request.Pool, stepAdmission, ShedStopping, fallbackRetryAfter)
	case !r.viewValid(now):
		return nil, nil, newShedError(request.Pool, stepAdmission, ShedViewExpired, fallbackRetryAfter)
	case p == nil || len(p.backends) == 0:
		return nil, nil, newShedError(request.Pool, stepRouting, ShedNoTarget, fallbackRetryAfter)
	case !request.Deadline.IsZero() && !now.Before(request.Deadline):
		return nil, nil, newShedError(request.Pool, stepAdmission, ShedDeadline, p.queue.RetryAfter())
	}
	if p.queue.Len() == 0 {
		if b := r.pick(now, p, request.Avoid); b != nil {
			if b.health.suspect(now) && p.hasHealthy(now) {
				r.requestSlots(now, p) // All slots of this process may be in one failing zone.
			}
			return r.reserve(now, p, b, request.Service), nil, nil
		}
	}
	entry, err := r.enqueue(now, p, request)
	return nil, entry, err
}

// enqueue adds a request to the queue of its pool and requests slots from peers.
// It returns a *ShedError if the queue refuses the request.
func (r *Router) enqueue(now time.Time, p *pool, request Request) (*admission.Entry[*waiter], error) {
	p.queue.SetSlots(p.usableSlots())
	admissionRequest := admission.Request{
		Service: request.Service, Customer: request.Customer, Urgency: request.Urgency, Deadline: request.Deadline, MaxQueue: request.MaxQueue,
	}
	entry, displaced, refused := p.queue.Enqueue(now, admissionRequest, &waiter{request, make(chan outcome, 1)})
	if displaced != nil {
		displaced.Value.refuse(p, ShedQueueFull)
	}
	r.requestSlots(now, p)
	r.scheduleTimer(now, p)
	switch refused {
	case admission.QueueFull:
		return nil, newShedError(p.id, stepAdmission, ShedQueueFull, p.queue.RetryAfter())
	case admission.DeadlineUnreachable:
		return nil, newShedError(p.id, stepAdmission, ShedDeadline, p.queue.RetryAfter())
	}
	return entry, nil
}

// awaitOutcome waits until the request gets a slot or is shed, its context ends, or
// it can no longer complete before its deadline.
func (r *Router) awaitOutcome(ctx context.Context, entry *admission.Entry[*waiter]) (Reservation, error) {
	tooLate, stop := r.latestStartTimer(entry)
	defer stop()
	select {
	case o := <-entry.Value.outcome:
		return o.result()
	case <-ctx.Done():
		r.abandon(entry)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, r.shedErrorFor(entry, ShedDeadline)
		}
		return nil, fmt.Errorf("%s: pool %s: %w", stepAdmission, entry.Value.request.Pool, ctx.Err())
	case <-tooLate:
		if r.withdraw(entry) {
			return nil, r.shedErrorFor(entry, ShedDeadline)
		}
		return (<-entry.Value.outcome).result()
	}
}

func (o outcome) result() (Reservation, error) {
	if o.err != nil {
		return nil, o.err
	}
	return o.granted, nil
}

// latestStartTimer returns a timer that fires at the latest time at which the
// request can start and still complete before its deadline, and a function that
// stops the timer.
func (r *Router) latestStartTimer(entry *admission.Entry[*waiter]) (<-chan time.Time, func()) {
	if entry.Deadline.IsZero() {
		return nil, func() {}
	}
	r.mu.Lock()
	left := entry.Deadline.Sub(r.options.Now()) - r.pools[entry.Value.request.Pool].queue.ServiceTime(entry.Service)
	r.mu.Unlock()
	t := time.NewTimer(left)
	return t.C, func() { t.Stop() }
}

// withdraw removes a request from its queue. It returns false if the request has
// already got a slot or been shed.
func (r *Router) withdraw(entry *admission.Entry[*waiter]) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pools[entry.Value.request.Pool].queue.Remove(entry)
}

// abandon withdraws a request, or releases its slot if it has already got one.
func (r *Router) abandon(entry *admission.Entry[*waiter]) {
	if r.withdraw(entry) {
		return
	}
	if o := <-entry.Value.outcome; o.granted != nil {
		o.granted.cancel()
	}
}

// shedErrorFor returns the *ShedError for a queued request.
func (r *Router) shedErrorFor(entry *admission.Entry[*waiter], reason ShedReason) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := entry.Value.request.Pool
	return newShedError(id, stepAdmission, reason, r.pools[id].queue.RetryAfter())
}

// refuse ends the wait of a request with a *ShedError.
func (w *waiter) refuse(p *pool, reason ShedReason) {
	w.outcome <- outcome{err: newShedError(p.id, stepAdmission, reason, p.queue.RetryAfter())}
}

func newShedError(id fleet.PoolID, step string, reason ShedReason, retry time.Duration) error {
	return &ShedError{Step: step, Pool: id, Reason: reason, RetryAfter: retry}
}

// serveQueue gives free slots to the waiting requests of the pool, in the order of
// the queue. It sheds those that can no longer meet their deadlines, and requests
// slots from peers for the rest.
func (r *Router) serveQueue(now time.Time, p *pool) {
	if p == nil || p.queue.Len() == 0 {
		return
	}
	if reason, shedAll := r.unservableReason(now, p); shedAll {
		for e := p.queue.Dequeue(); e != nil; e = p.queue.Dequeue() {
			e.Value.refuse(p, reason)
		}
		return
	}
	for e := p.queue.Peek(); e != nil; e = p.queue.Peek() {
		if p.queue.MissesDeadline(now, e.Request) {
			p.queue.Remove(e)
			e.Value.refuse(p, ShedDeadline)
			continue
		}
		b := r.pick(now, p, e.Value.request.Avoid)
		if b == nil {
			break
		}
		p.queue.Dequeue()
		e.Value.outcome <- outcome{granted: r.reserve(now, p, b, e.Service)}
	}
	if p.queue.Len() > 0 {
		r.requestSlots(now, p)
		r.scheduleTimer(now, p)
	}
}

// unservableReason reports whether no request of the pool can be served, and why.
func (r *Router) unservableReason(now time.Time, p *pool) (ShedReason, bool) {
	switch {
	case r.closed:
		return ShedStopping, true
	case !r.viewValid(now):
		return ShedViewExpired, true
	case len(p.backends) == 0:
		return ShedNoTarget, true
	}
	return "", false
}
