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
	// advisedAtOnce is the number of workers in one call for advice. Each adds to
	// the time of the answer.
	advisedAtOnce = 30
	// advisedPerTask times the tasks that wait is the number of workers to ask
	// about, since some may not run the step.
	advisedPerTask = 3
	// maxAdviceCalls bounds the calls under way; the adviser answers one at a time.
	maxAdviceCalls = 4
	// adviceTimeout is added to the time that the terms give for an answer.
	adviceTimeout = 2 * time.Second
	adviceRetry   = 250 * time.Millisecond
	// ticketMargin is left of a ticket when it is used, for the way of the order.
	ticketMargin = 300 * time.Millisecond
)

// stepAdvice is what is known of the workers that may run a step.
type stepAdvice struct {
	tickets map[*workerState]ticket
	// denied are workers that may not run the step; that does not change.
	denied map[worker.ID]bool
	asking bool
	retry  time.Duration // When the adviser may be asked again after a failure.
}

type ticket struct {
	value string
	until time.Duration
}

// terms returns the terms of advice of a step's queue.
func (s *Shard) terms(step *stepState) worker.AdvicePolicy {
	if s.o.Adviser == nil {
		return worker.AdvicePolicy{}
	}
	return s.queues[step.job.job.Queue].Advice
}

// permits returns which nodes of a pass may run a step, or nil for all.
func (p *pass) permits(step *stepState) func(node int) bool {
	if !p.s.terms(step).TicketRequired() {
		return nil
	}
	return func(node int) bool { return step.ticketFor(p.workers[node], p.now) != "" }
}

func (s *stepState) ticketFor(w *workerState, now time.Duration) string {
	if t, ok := s.advice.tickets[w]; ok && now < t.until {
		return t.value
	}
	return ""
}

// seekAdvice asks about workers that have room for the tasks of a step that
// found no place. A call that is not answered is made again later.
func (p *pass) seekAdvice(step *stepState) {
	terms := p.s.terms(step)
	a := &step.advice
	if !terms.TicketRequired() || a.asking || p.now < a.retry || p.s.adviceCalls >= maxAdviceCalls {
		return
	}
	asked := p.unadvised(step)
	if len(asked) == 0 {
		return
	}
	a.asking = true
	p.s.adviceCalls++
	s, name, sent := p.s, step.tasks[0].ref().StepName(), p.now
	ids := make([]worker.ID, len(asked))
	for i, w := range asked {
		ids[i] = w.info.ID
	}
	limit := terms.CallDuration + time.Duration(len(ids))*terms.DurationPerWorker + adviceTimeout
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		advice, err := s.o.Adviser.Advise(ctx, name, ids)
		s.o.Loop.Post(func() { s.advised(step, asked, advice, sent+terms.TicketValidity, err) })
	}()
}

// unadvised returns workers with room of which it is not known whether they may
// run the step, those with most room first.
func (p *pass) unadvised(step *stepState) (asked []*workerState) {
	charge := step.spec.ReservedResources()
	for i, w := range p.workers {
		if charge.Fits(p.nodes[i].Free) && !step.advice.denied[w.info.ID] && step.ticketFor(w, p.now) == "" {
			asked = append(asked, w)
		}
	}
	slices.SortStableFunc(asked, func(a, b *workerState) int { return cmp.Compare(b.free().CPU, a.free().CPU) })
	return asked[:min(len(asked), advisedAtOnce, advisedPerTask*step.idle)]
}

func (s *Shard) advised(step *stepState, asked []*workerState, advice worker.Advice, until time.Duration, err error) {
	a := &step.advice
	a.asking = false
	s.adviceCalls--
	if s.stopped {
		return
	}
	if err != nil {
		a.retry = s.o.Clock() + adviceRetry
		s.record(eventlog.AdviceFailed, eventlog.Fields{"job": step.job.job.ID, "step": step.tasks[0].ref().StepName(), "workers": len(asked), "error": err})
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
	s.place()
}
