package shard

import (
	"context"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/worker"
)

const (
	fullPace = 100
	// paceChangeInterval is the minimum time before a pace is lowered again. The effect
	// of a change shows in measurements, which cover the last half second.
	paceChangeInterval = 700 * time.Millisecond
	// paceRaise is added to a pace while all serving tasks are well below their
	// targets.
	paceRaise         = 10
	paceRaiseInterval = 1500 * time.Millisecond
	// paceRepeatInterval is the time between two orders for the same pace while an earlier order may still be
	// carried out.
	paceRepeatInterval = 700 * time.Millisecond
	minPace            = 15  // A lower pace becomes 0.
	targetMargin       = 0.8 // Share of its target below which a serving task has a safety margin.
	// colocatedHoldWait is how long a worker with both serving and best-effort tasks may
	// delay its reply to a hold, which reports their measurements.
	colocatedHoldWait = 400 * time.Millisecond
)

// colocation describes the serving tasks (with a latency target) and the best-effort
// tasks (with BestEffortCPU) that run on the same worker.
type colocation struct {
	bestEffort        []*attempt
	worstLatencyRatio float64 // Highest ratio of a serving task's latency to its target.
	hasServing        bool
}

// colocation collects the serving and best-effort tasks that run on the worker.
func (w *workerState) colocation() (c colocation) {
	for _, a := range w.attempts {
		if a.task == nil || a.phase != running {
			continue
		}
		spec := a.task.step.spec
		if spec.BestEffortCPU {
			c.bestEffort = append(c.bestEffort, a)
		}
		if spec.LatencyTarget > 0 {
			c.hasServing = true
			c.worstLatencyRatio = max(c.worstLatencyRatio, a.measure/float64(spec.LatencyTarget.Milliseconds()))
		}
	}
	return c
}

// nextPace returns the next pace of best-effort tasks. It halves the pace while a serving
// task on the same worker exceeds its latency target, and raises it in steps while all
// serving tasks are well below their targets.
func nextPace(pace int, c colocation, sinceChange time.Duration) int {
	switch {
	case !c.hasServing:
		return fullPace
	case c.worstLatencyRatio > 1 && sinceChange >= paceChangeInterval:
		if pace /= 2; pace < minPace {
			return 0
		}
		return pace
	case c.worstLatencyRatio < targetMargin && sinceChange >= paceRaiseInterval:
		return min(pace+paceRaise, fullPace)
	}
	return pace
}

// adjustPace throttles the best-effort tasks of a worker to keep its serving tasks below
// their latency targets.
func (s *Shard) adjustPace(w *workerState, now time.Duration) {
	c := w.colocation()
	if len(c.bestEffort) == 0 || !s.canAct() || w.failedHolds > 0 {
		return
	}
	if pace := nextPace(w.pace, c, now-w.paceChangedAt); pace != w.pace {
		s.recordEvent(eventlog.WorkerPaced, eventlog.Fields{"worker": w.info.ID, "percent": pace, "worst": c.worstLatencyRatio, "filling": len(c.bestEffort)})
		w.pace, w.paceChangedAt = pace, now
	}
	for _, a := range c.bestEffort {
		if a.pace.isDue(w.pace, now) {
			s.sendPace(a, w.pace)
		}
	}
}

// attemptPace is what is known of the pace of a run.
type attemptPace struct {
	// percent is the pace that the worker has confirmed last, if confirmed is set. A run that this owner has not
	// started may have any pace.
	percent   int
	confirmed bool
	inFlight  bool
	// repeatedAt is when the last confirmed order was sent. lateUntil is when the last order without a reply is
	// carried out at the latest, also after newer ones; 0 for none.
	repeatedAt, lateUntil time.Duration
}

// isDue reports whether an order for a pace is to be sent now. As long as an earlier order may still be carried
// out, the pace is ordered again and again, and once after that.
func (p *attemptPace) isDue(percent int, now time.Duration) bool {
	switch {
	case p.inFlight:
		return false
	case !p.confirmed || p.percent != percent:
		return true
	}
	return p.repeatedAt <= p.lateUntil && now-p.repeatedAt >= paceRepeatInterval
}

// noteReply applies the outcome of an order that was sent at a time.
func (p *attemptPace) noteReply(percent int, sent time.Duration, err error) {
	p.inFlight = false
	switch {
	case err == nil:
		p.percent, p.confirmed, p.repeatedAt = percent, true, sent
	case !worker.Refused(err):
		p.confirmed, p.lateUntil = false, sent+maxOrderDelay
	}
}

func (s *Shard) sendPace(a *attempt, percent int) {
	a.pace.inFlight = true
	fence, sentAt := a.worker.fence, s.opts.Clock()
	to, sent := s.beginOrder(a.worker)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		err := s.opts.Workers.Pace(ctx, to, a.ref, a.run, percent, fence)
		s.opts.Loop.Post(func() {
			s.endStatusCall(to.ID, sent)
			if err != nil {
				fields := eventlog.Fields{"task": a.ref.String(), "run": a.run, "worker": a.worker.info.ID, "percent": percent, "error": err}
				addIncarnationFields(fields, to.StartedUnixMs, err)
				s.recordEvent(eventlog.PaceUnconfirmed, fields)
			}
			a.pace.noteReply(percent, sentAt, err)
		})
	}()
}
