package routing

import (
	"context"
	"errors"
	"fmt"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/admission"
)

// Steps of the request path at which a request is shed.
const (
	stepAdmission = "admission"
	stepRouting   = "routing"
)

// retryNoTarget is RetryAfter when the router cannot tell how long a condition
// lasts: the view has expired or no backend server is in the pool.
const retryNoTarget = time.Second

// waiter is a request that waits in a queue.
type waiter struct {
	request Request
	outcome chan outcome // Buffered; receives once.
}

type outcome struct {
	held *reservation
	err  error
}

// Acquire implements Dispatcher. When ctx ends with its deadline, the error is
// a *ShedError, as when the request's own deadline cannot be met.
func (r *Router) Acquire(ctx context.Context, q Request) (Reservation, error) {
	held, entry, err := r.enter(q)
	switch {
	case err != nil:
		return nil, err
	case held != nil:
		return held, nil
	}
	return r.await(ctx, entry)
}

// enter reserves a slot at once or queues the request.
func (r *Router) enter(q Request) (*reservation, *admission.Entry[*waiter], error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	r.advance(now)
	p := r.pools[q.Pool]
	switch {
	case r.closed:
		return nil, nil, shed(q.Pool, stepAdmission, ShedStopping, retryNoTarget)
	case !r.valid(now):
		return nil, nil, shed(q.Pool, stepAdmission, ShedViewExpired, retryNoTarget)
	case p == nil || len(p.backends) == 0:
		return nil, nil, shed(q.Pool, stepRouting, ShedNoTarget, retryNoTarget)
	case !q.Deadline.IsZero() && !now.Before(q.Deadline):
		return nil, nil, shed(q.Pool, stepAdmission, ShedDeadline, p.queue.RetryAfter())
	}
	if p.queue.Len() == 0 {
		if b := r.pick(now, p, q.Avoid); b != nil {
			if b.health.suspect(now) && p.hasSound(now) {
				r.ask(now, p) // All slots held here may be on servers of one failing zone.
			}
			return r.reserve(now, p, b, q.Service), nil, nil
		}
	}
	entry, err := r.queue(now, p, q)
	return nil, entry, err
}

// queue lets a request wait and asks peers for slots.
func (r *Router) queue(now time.Time, p *pool, q Request) (*admission.Entry[*waiter], error) {
	p.queue.SetSlots(p.usable())
	ticket := admission.Request{
		Service: q.Service, Customer: q.Customer, Urgency: q.Urgency, Deadline: q.Deadline, MaxQueue: q.MaxQueue,
	}
	entry, displaced, refused := p.queue.Enqueue(now, ticket, &waiter{q, make(chan outcome, 1)})
	if displaced != nil {
		displaced.Value.refuse(p, ShedQueueFull)
	}
	r.ask(now, p)
	r.schedule(now, p)
	switch refused {
	case admission.QueueFull:
		return nil, shed(p.id, stepAdmission, ShedQueueFull, p.queue.RetryAfter())
	case admission.DeadlineUnreachable:
		return nil, shed(p.id, stepAdmission, ShedDeadline, p.queue.RetryAfter())
	}
	return entry, nil
}

// await waits until the request is served or refused, its context ends, or it
// cannot end before its deadline any more.
func (r *Router) await(ctx context.Context, entry *admission.Entry[*waiter]) (Reservation, error) {
	late, stop := r.lateTimer(entry)
	defer stop()
	select {
	case o := <-entry.Value.outcome:
		return o.result()
	case <-ctx.Done():
		r.abandon(entry)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, r.refusal(entry, ShedDeadline)
		}
		return nil, fmt.Errorf("%s: pool %s: %w", stepAdmission, entry.Value.request.Pool, ctx.Err())
	case <-late:
		if r.withdraw(entry) {
			return nil, r.refusal(entry, ShedDeadline)
		}
		return (<-entry.Value.outcome).result()
	}
}

func (o outcome) result() (Reservation, error) {
	if o.err != nil {
		return nil, o.err
	}
	return o.held, nil
}

// lateTimer fires when the request, started then, would end at its deadline.
func (r *Router) lateTimer(entry *admission.Entry[*waiter]) (<-chan time.Time, func()) {
	if entry.Deadline.IsZero() {
		return nil, func() {}
	}
	r.mu.Lock()
	left := entry.Deadline.Sub(r.options.Now()) - r.pools[entry.Value.request.Pool].queue.ServiceTime(entry.Service)
	r.mu.Unlock()
	t := time.NewTimer(left)
	return t.C, func() { t.Stop() }
}

// withdraw removes a request from its queue. It reports false when the request
// has been served or refused meanwhile.
func (r *Router) withdraw(entry *admission.Entry[*waiter]) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pools[entry.Value.request.Pool].queue.Remove(entry)
}

// abandon withdraws a request, or releases the slot it has got meanwhile.
func (r *Router) abandon(entry *admission.Entry[*waiter]) {
	if r.withdraw(entry) {
		return
	}
	if o := <-entry.Value.outcome; o.held != nil {
		o.held.cancel()
	}
}

func (r *Router) refusal(entry *admission.Entry[*waiter], reason ShedReason) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := entry.Value.request.Pool
	return shed(id, stepAdmission, reason, r.pools[id].queue.RetryAfter())
}

// refuse tells a waiting request that it is shed.
func (w *waiter) refuse(p *pool, reason ShedReason) {
	w.outcome <- outcome{err: shed(p.id, stepAdmission, reason, p.queue.RetryAfter())}
}

func shed(id fleet.PoolID, step string, reason ShedReason, retry time.Duration) error {
	return &ShedError{Step: step, Pool: id, Reason: reason, RetryAfter: retry}
}

// serve gives free slots to waiting requests, in order.
func (r *Router) serve(now time.Time, p *pool) {
	if p == nil || p.queue.Len() == 0 {
		return
	}
	if reason, gone := r.unservable(now, p); gone {
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
		e.Value.outcome <- outcome{held: r.reserve(now, p, b, e.Service)}
	}
	if p.queue.Len() > 0 {
		r.ask(now, p)
		r.schedule(now, p)
	}
}

// unservable reports why no waiting request of the pool can be served.
func (r *Router) unservable(now time.Time, p *pool) (ShedReason, bool) {
	switch {
	case r.closed:
		return ShedStopping, true
	case !r.valid(now):
		return ShedViewExpired, true
	case len(p.backends) == 0:
		return ShedNoTarget, true
	}
	return "", false
}
