package shard

import (
	"context"
	"time"

	"peridotcrank.dev/eventlog"
)

const (
	fullPace = 100
	// paceGap is the time between two changes of a worker's pace: the effect
	// of the first shows in figures of the last half second.
	paceGap = 700 * time.Millisecond
	// paceRaise is added to a pace while serving tasks are well under their target.
	paceRaise    = 10
	raiseGap     = 1500 * time.Millisecond
	leastPace    = 15  // Below it, a pace is 0.
	targetMargin = 0.8 // Share of its target under which a serving task has room.
	// sharingWait is how long a worker with serving and filling tasks may wait
	// before it reports their figures.
	sharingWait = 400 * time.Millisecond
)

// sharing is what serving and filling tasks on one worker do to each other.
type sharing struct {
	fills  []*attempt
	worst  float64 // Highest latency of a serving task, as a share of its target.
	serves bool
}

func (w *workerState) sharing() (sh sharing) {
	for _, a := range w.attempts {
		if a.task == nil || a.phase != running {
			continue
		}
		spec := a.task.step.spec
		if spec.BestEffortCPU {
			sh.fills = append(sh.fills, a)
		}
		if spec.LatencyTarget > 0 {
			sh.serves = true
			sh.worst = max(sh.worst, a.measure/float64(spec.LatencyTarget.Milliseconds()))
		}
	}
	return sh
}

// nextPace halves the pace of filling tasks while a serving task beside them is
// over its target, and raises it step by step while all are well under theirs.
func nextPace(pace int, sh sharing, sinceChange time.Duration) int {
	switch {
	case !sh.serves:
		return fullPace
	case sh.worst > 1 && sinceChange >= paceGap:
		if pace /= 2; pace < leastPace {
			return 0
		}
		return pace
	case sh.worst < targetMargin && sinceChange >= raiseGap:
		return min(pace+paceRaise, fullPace)
	}
	return pace
}

// paceWorker keeps serving tasks of a worker under their targets.
func (s *Shard) paceWorker(w *workerState, now time.Duration) {
	sh := w.sharing()
	if len(sh.fills) == 0 || !s.canAct() || w.failures > 0 {
		return
	}
	if pace := nextPace(w.pace, sh, now-w.pacedAt); pace != w.pace {
		s.record(eventlog.WorkerPaced, eventlog.Fields{"worker": w.info.ID, "percent": pace, "worst": sh.worst, "filling": len(sh.fills)})
		w.pace, w.pacedAt = pace, now
	}
	for _, a := range sh.fills {
		if a.pace != w.pace && !a.pacing {
			s.orderPace(a, w.pace)
		}
	}
}

func (s *Shard) orderPace(a *attempt, percent int) {
	a.pacing = true
	to := a.worker.target()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		err := s.o.Workers.Pace(ctx, to, a.ref, a.run, percent, s.o.Fence)
		s.o.Loop.Post(func() {
			a.pacing = false
			if err == nil {
				a.pace = percent // Without an answer the next look repeats it.
			}
		})
	}()
}
