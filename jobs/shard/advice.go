package shard

import (
	"cmp"
	"context"
	"slices"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/worker"
)

const (
	// maxAdvisedWorkers is the maximum number of workers in one advice request. Each
	// worker adds to the time until the reply.
	maxAdvisedWorkers = 30
	// advisedWorkersPerTask is the number of workers to ask about for each waiting
	// task, since some of them may not be allowed to run the step.
	advisedWorkersPerTask = 3
	// maxAdviceCalls bounds the requests in flight; the adviser answers one at a time.
	maxAdviceCalls = 4
	// adviceTimeout is added to the duration that the advice policy states.
	adviceTimeout    = 2 * time.Second
	adviceRetryDelay = 250 * time.Millisecond
	// ticketMargin is the minimum remaining validity of a ticket when it is used, to
	// cover the transmission of the order.
	ticketMargin = 300 * time.Millisecond
)

// stepAdvice holds the advice on which workers are allowed to run a step.
type stepAdvice struct {
	tickets map[*workerState]ticket
	// denied are workers that are not allowed to run the step; this never changes.
	denied          map[worker.ID]bool
	requestInFlight bool
	retryAt         time.Duration // When the adviser may be asked again after a failure.
}

type ticket struct {
	value     string
	expiresAt time.Duration
}

// advicePolicy returns the advice terms of a step's queue.
func (s *Shard) advicePolicy(step *stepState) worker.AdvicePolicy {
	if s.opts.Adviser == nil {
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

// requestAdvice asks the adviser about workers with free capacity for the tasks of a
// step that could not be placed. After a failure the request is repeated later.
func (p *placementPass) requestAdvice(step *stepState) {
	policy := p.shard.advicePolicy(step)
	a := &step.advice
	if !policy.TicketRequired() || a.requestInFlight || p.now < a.retryAt || p.shard.adviceCalls >= maxAdviceCalls {
		return
	}
	asked := p.workersWithoutAdvice(step)
	if len(asked) == 0 {
		return
	}
	a.requestInFlight = true
	p.shard.adviceCalls++
	shard, stepName, sent := p.shard, step.tasks[0].ref().StepName(), p.now
	ids := make([]worker.ID, len(asked))
	for i, w := range asked {
		ids[i] = w.info.ID
	}
	limit := policy.CallDuration + time.Duration(len(ids))*policy.DurationPerWorker + adviceTimeout
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		advice, err := shard.opts.Adviser.Advise(ctx, stepName, ids)
		shard.opts.Loop.Post(func() { shard.handleAdvice(step, asked, advice, sent+policy.TicketValidity, err) })
	}()
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
// the other workers as denied. The tickets expire ticketMargin before until.
func (s *Shard) handleAdvice(step *stepState, asked []*workerState, advice worker.Advice, until time.Duration, err error) {
	a := &step.advice
	a.requestInFlight = false
	s.adviceCalls--
	if s.stopped {
		return
	}
	if err != nil {
		a.retryAt = s.opts.Clock() + adviceRetryDelay
		s.recordEvent(eventlog.AdviceFailed, eventlog.Fields{"job": step.job.job.ID, "step": step.tasks[0].ref().StepName(), "workers": len(asked), "error": err})
		return
	}
	if a.tickets == nil {
		a.tickets, a.denied = map[*workerState]ticket{}, map[worker.ID]bool{}
	}
	for _, w := range asked {
		if value, ok := advice[w.info.ID]; ok {
			a.tickets[w] = ticket{value, until - ticketMargin}
		} else {
			a.denied[w.info.ID] = true
		}
	}
	s.schedulePlacement()
}
