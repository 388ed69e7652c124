package shard

import (
	"cmp"
	"slices"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/advice"
	"peridotcrank.dev/jobs/worker"
)

const (
	// maxAdvisedWorkers is the maximum number of workers in one advice request. Each
	// worker adds to the time until the reply.
	maxAdvisedWorkers = 30
	// advisedWorkersPerTask is the number of workers to ask about for each waiting
	// task, since some of them may not be allowed to run the step.
	advisedWorkersPerTask = 3
	adviceRetryDelay      = 250 * time.Millisecond
	// ticketMargin is the minimum remaining validity of a ticket when it is used, to
	// cover the transmission of the order. It is at most half of the validity.
	ticketMargin = 300 * time.Millisecond
)

// stepAdvice holds the advice on which workers are allowed to run a step.
type stepAdvice struct {
	tickets map[*workerState]ticket
	// denied are workers that are not allowed to run the step; this never changes.
	denied  map[worker.ID]bool
	retryAt time.Duration // When the adviser may be asked again after a failure.
	// unusedCalls is the number of answered calls since a task of the step was last started.
	unusedCalls int
}

type ticket struct {
	value     string
	expiresAt time.Duration
}

// advicePolicy returns the advice terms of a step's queue.
func (s *Shard) advicePolicy(step *stepState) worker.AdvicePolicy {
	if s.opts.Advice == nil {
		return worker.AdvicePolicy{}
	}
	return s.queues[step.job.job.Queue].Advice
}

// nodeFilter returns a function that reports whether a node is allowed to run a step,
// or nil if all nodes are.
func (p *placementPass) nodeFilter(step *stepState) func(node int) bool {
	if !p.shard.advicePolicy(step).TicketRequired() {
		return nil
	}
	return func(node int) bool { return step.ticketFor(p.workers[node], p.now) != "" }
}

func (s *stepState) ticketFor(w *workerState, now time.Duration) string {
	if t, ok := s.advice.tickets[w]; ok && now < t.expiresAt {
		return t.value
	}
	return ""
}

// adviceRequest is the request of a shard to the queue for advice.
type adviceRequest struct {
	*advice.Request
	step  *stepState
	asked []*workerState
}

// isFor reports whether the request is about a step and about the same workers.
func (r *adviceRequest) isFor(step *stepState, asked []*workerState) bool {
	return r.step == step && slices.Equal(r.asked, asked)
}

// wantAdvice notes a step with tasks that could not be placed for want of a ticket. Of several, the
// adviser is asked about the first one that has used its tickets, so that steps whose tickets expire
// before they can be used do not keep the others from being asked about.
func (p *placementPass) wantAdvice(step *stepState) {
	a := &step.advice
	if !p.shard.advicePolicy(step).TicketRequired() || p.now < a.retryAt {
		return
	}
	if p.advised != nil && p.advised.advice.unusedCalls <= a.unusedCalls {
		return
	}
	if asked := p.workersWithoutAdvice(step); len(asked) > 0 {
		p.advised, p.askedWorkers = step, asked
	}
}

// requestAdvice asks the adviser about the step that the pass has chosen. A request that still waits for its turn
// is replaced, since it may be about a step that has started or ended meanwhile.
func (p *placementPass) requestAdvice() {
	s, current := p.shard, p.shard.adviceRequest
	switch {
	case current == nil && p.advised == nil:
	case current == nil:
		s.adviceRequest = s.newAdviceRequest(p.advised, p.askedWorkers)
		s.opts.Advice.Add(s.adviceRequest.Request)
	case p.advised == nil:
		s.withdrawAdviceRequest()
	case !current.isFor(p.advised, p.askedWorkers):
		r := s.newAdviceRequest(p.advised, p.askedWorkers)
		if s.opts.Advice.Replace(current.Request, r.Request) {
			s.adviceRequest = r
		}
	}
}

// withdrawAdviceRequest withdraws the request of this shard unless it was sent already.
func (s *Shard) withdrawAdviceRequest() {
	if s.adviceRequest != nil && s.opts.Advice.Replace(s.adviceRequest.Request, nil) {
		s.adviceRequest = nil
	}
}

func (s *Shard) newAdviceRequest(step *stepState, asked []*workerState) *adviceRequest {
	r := &adviceRequest{step: step, asked: asked}
	ids := make([]worker.ID, len(asked))
	for i, w := range asked {
		ids[i] = w.info.ID
	}
	r.Request = &advice.Request{
		Step: step.name(), Workers: ids, Policy: s.advicePolicy(step),
		Done: func(reply advice.Reply) { s.opts.Loop.Post(func() { s.handleAdvice(r, reply) }) },
	}
	return r
}

// workersWithoutAdvice returns the workers that have free capacity for a task of the
// step, but no ticket and no denial, those with the most free CPU first.
func (p *placementPass) workersWithoutAdvice(step *stepState) (asked []*workerState) {
	reserved := step.spec.ReservedResources()
	for i, w := range p.workers {
		if reserved.Fits(p.nodes[i].Free) && !step.advice.denied[w.info.ID] && step.ticketFor(w, p.now) == "" {
			asked = append(asked, w)
		}
	}
	slices.SortStableFunc(asked, func(a, b *workerState) int { return cmp.Compare(b.free().CPU, a.free().CPU) })
	return asked[:min(len(asked), maxAdvisedWorkers, advisedWorkersPerTask*step.pending)]
}

// handleAdvice stores the tickets for the workers that the adviser allows and marks
// the other workers as denied.
func (s *Shard) handleAdvice(r *adviceRequest, reply advice.Reply) {
	s.adviceRequest = nil
	if s.stopped {
		return
	}
	s.schedulePlacement()
	a := &r.step.advice
	fields := eventlog.Fields{
		"job": r.step.job.job.ID, "step": r.Step, "workers": len(r.asked),
		"took": (reply.ReceivedAt - reply.SentAt).String(), "limit": reply.Limit.String(),
	}
	if reply.Err != nil {
		a.retryAt = s.opts.Clock() + adviceRetryDelay
		fields["error"] = reply.Err
		s.recordEvent(eventlog.AdviceFailed, fields)
		return
	}
	fields["allowed"] = len(reply.Advice)
	s.recordEvent(eventlog.AdviceReceived, fields)
	a.unusedCalls++
	if a.tickets == nil {
		a.tickets, a.denied = map[*workerState]ticket{}, map[worker.ID]bool{}
	}
	expiresAt := reply.ReceivedAt + r.Policy.TicketValidity - min(ticketMargin, r.Policy.TicketValidity/2)
	for _, w := range r.asked {
		if value, ok := reply.Advice[w.info.ID]; ok {
			a.tickets[w] = ticket{value, expiresAt}
		} else {
			a.denied[w.info.ID] = true
		}
	}
}
