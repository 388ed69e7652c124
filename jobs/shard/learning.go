package shard

import (
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/durations"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/scheduler"
	"peridotcrank.dev/jobs/worker"
)

// durationPredictor predicts how long tasks run from their declared estimates and from
// the durations of earlier tasks.
type durationPredictor interface {
	// Observe adds the duration of a task with the given estimate.
	Observe(estimate, actual time.Duration)
	// Predict returns the expected duration of a task with the given estimate.
	Predict(estimate time.Duration) time.Duration
	// Trained reports whether there are enough samples to judge runs by.
	Trained() bool
}

var (
	_ durationPredictor = (*scheduler.DurationPredictor)(nil)
	_ durationPredictor = durations.Predictor{}
)

// durationPredictor returns the predictor for the tasks of a step.
func (s *Shard) durationPredictor(queue job.Queue, step *job.Step) durationPredictor {
	if s.learning != nil {
		return s.learning.model.Predictor(queue, step)
	}
	d := s.predictors[queue]
	if d == nil {
		d = &scheduler.DurationPredictor{}
		s.predictors[queue] = d
	}
	return d
}

// learning is what a shard has learned about the durations of tasks.
type learning struct {
	model  *durations.Model
	speeds *durations.Speeds
	// savedAt is when the row was last added to a transaction.
	savedAt time.Duration
	// tickedAt is when the periodic checks last ran, and pausedAt when they were last
	// found to be late.
	tickedAt, pausedAt time.Duration
	reportedAt         time.Duration
}

func newLearning() *learning {
	return &learning{model: durations.New(), speeds: durations.NewSpeeds()}
}

const (
	// maxTickDelay is the delay of the periodic checks from which this process counts as
	// paused.
	maxTickDelay = 250 * time.Millisecond
	// minWatchTime is the age of a hold from which it reports an end without delay. A
	// younger one may report an end that happened before it reached the worker.
	minWatchTime = 30 * time.Millisecond
	// maxEndWindow and maxEndWindowShare bound the uncertainty of the end of a run whose
	// duration is learned, the latter as a share of its duration.
	maxEndWindow      = 150 * time.Millisecond
	maxEndWindowShare = 0.1
	// summaryInterval is the minimum time between two reports of what was learned.
	summaryInterval = time.Minute
)

// runTiming is what is known about the duration of a run, on the clock of its worker. A
// pause of this process does not change it.
type runTiming struct {
	// startedClock is when the run started, or when it was first listed if startUncertain
	// is set; 0 before.
	startedClock   worker.ClockTime
	startUncertain bool
	// listedClock is the clock of the last status that listed the run.
	listedClock worker.ClockTime
	// savedWork is how long earlier runs took for the progress that this run resumes.
	// savedWorkUnknown is set if this owner does not know it.
	savedWork        time.Duration
	savedWorkUnknown bool
	// secondRun is set if the task already had a run.
	secondRun bool
	// noSample is set if the run was counted, or if its duration says nothing.
	noSample bool
}

// noteStarted stores the clock of the reply to a start.
func (r *runTiming) noteStarted(clock worker.ClockTime) {
	r.startedClock, r.startUncertain = clock, false
}

// noteListed stores the clock of a status that lists the run.
func (r *runTiming) noteListed(clock worker.ClockTime) {
	if r.startedClock == 0 {
		r.startedClock, r.startUncertain = clock, true
	}
	r.listedClock = clock
}

// resumedTiming returns the timing of a new run of a task.
func (t *task) resumedTiming() runTiming {
	return runTiming{savedWork: t.savedWork, savedWorkUnknown: t.checkpoint != "" && t.savedWork == 0}
}

// noteCheckpoint stores how much work a new checkpoint of a task holds.
func (a *attempt) noteCheckpoint(checkpoint string, clock worker.ClockTime) {
	if a.task == nil || checkpoint == "" || checkpoint == a.task.checkpoint {
		return
	}
	work := time.Duration(0)
	if r := &a.timing; r.startedClock > 0 && !r.startUncertain && !r.savedWorkUnknown {
		work = r.savedWork + clock - r.startedClock
	}
	members := []*task{a.task}
	if a.task.step.spec.Gang {
		members = a.task.step.allTasks()
	}
	for _, member := range members {
		member.savedWork = work
	}
}

// age returns how long a run has lasted.
func (a *attempt) age(now time.Duration) time.Duration {
	if a.timing.startedClock == 0 {
		return max(now-a.sentAt, 0)
	}
	w := a.worker
	return max(w.lastStatusClock+now-w.lastStatusAt-a.timing.startedClock, 0)
}

// noteStatus determines how long before the clock of a status the ends that it reports
// may have happened. A hold that waits for an end reports it without delay.
func (s *Shard) noteStatus(w *workerState, clock worker.ClockTime) {
	now := s.opts.Clock()
	waiting := (w.holdInFlight != nil || now-w.holdRepliedAt < minWatchTime) && now-w.holdSentAt > minWatchTime
	w.endWindow = clock - w.lastStatusClock
	if waiting && !s.pausedSince(w.lastStatusAt, now) {
		w.endWindow = 0
	}
	w.lastStatusAt = now
}

// pausedSince reports whether this process was paused after a time.
func (s *Shard) pausedSince(since, now time.Duration) bool {
	l := s.learning
	return l == nil || l.pausedAt > since || now-l.tickedAt > tickInterval+maxTickDelay
}

// observeEnd learns from a run whose end the worker has reported.
func (s *Shard) observeEnd(a *attempt, outcome worker.Outcome) {
	w, r := a.worker, &a.timing
	if !a.takeSample(outcome) {
		return
	}
	elapsed := w.lastStatusClock - r.startedClock
	exact := w.endWindow <= max(maxEndWindow, time.Duration(maxEndWindowShare*float64(elapsed)))
	if outcome == worker.Done && exact && !r.startUncertain && !r.savedWorkUnknown {
		s.observeDone(a, elapsed)
		return
	}
	lasted := r.listedClock - r.startedClock
	if outcome != worker.LeaseExpired {
		lasted = max(lasted, elapsed-w.endWindow)
	}
	s.observeAtLeast(a, lasted)
}

// observeLost learns from a run that is gone without a reported end.
func (s *Shard) observeLost(a *attempt) {
	if a.takeSample(worker.LeaseExpired) {
		s.observeAtLeast(a, a.timing.listedClock-a.timing.startedClock)
	}
}

// takeSample reports whether the duration of a run is to be learned, at most once. One
// run counts for a task with two runs, and one member for a gang.
func (a *attempt) takeSample(outcome worker.Outcome) bool {
	r := &a.timing
	if a.task == nil || r.noSample || r.startedClock == 0 || r.secondRun {
		return false
	}
	r.noSample = true
	step := a.task.step
	if step.spec.LongRunning || step.spec.BestEffortCPU {
		return false
	}
	return !step.spec.Gang || !step.complete() && (outcome == worker.Done || a.ref.Index == 0)
}

func (s *Shard) observeDone(a *attempt, elapsed time.Duration) {
	l, now, id, spec := s.learning, s.opts.Clock(), a.worker.info.ID, a.task.step.spec
	key := durations.NewKey(a.task.step.job.job.Queue, spec)
	d := l.model.Distribution(key)
	total := a.timing.savedWork + time.Duration(float64(elapsed)/l.speeds.Slowdown(id, now))
	if s.opts.PredictionObserved != nil {
		s.opts.PredictionObserved(d.Mean(), total)
	}
	if !spec.Gang && a.timing.savedWork == 0 {
		l.speeds.Observe(id, elapsed, d.Quantile(0.5), now)
		a.worker.doubtful = l.isDoubtful(id, now)
	}
	l.model.Observe(key, total)
}

func (s *Shard) observeAtLeast(a *attempt, lasted time.Duration) {
	l := s.learning
	key := durations.NewKey(a.task.step.job.job.Queue, a.task.step.spec)
	slowdown := l.speeds.Slowdown(a.worker.info.ID, s.opts.Clock())
	l.model.ObserveAtLeast(key, a.timing.savedWork+time.Duration(float64(max(lasted, 0))/slowdown))
}

// isDoubtful reports whether a worker is slow, or has not completed a run recently.
func (l *learning) isDoubtful(id worker.ID, now time.Duration) bool {
	return !l.speeds.IsKnown(id, now) || l.speeds.IsSlow(id, now)
}

// tickLearning detects pauses of this process, and regularly renews what is derived from
// the speeds of the workers and reports what was learned.
func (s *Shard) tickLearning(now time.Duration) {
	l := s.learning
	if l == nil {
		return
	}
	if l.tickedAt > 0 && now-l.tickedAt > tickInterval+maxTickDelay {
		l.pausedAt = now
	}
	l.tickedAt = now
	if now-l.reportedAt < summaryInterval {
		return
	}
	l.reportedAt = now
	for id, w := range s.workers {
		w.doubtful = l.isDoubtful(id, now)
	}
	for _, q := range l.model.Summaries() {
		s.recordEvent(eventlog.DurationsLearned, eventlog.Fields{
			"queue": q.Queue, "estimate": q.Estimate.String(), "median": q.Median.String(), "p95": q.Tail.String(), "samples": int(q.Samples),
		})
	}
}
