package shard

import (
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
)

// Code is the outcome of a call to a shard.
type Code uint8

// Outcomes of calls.
const (
	OK Code = iota + 1
	// NotFound means that there is no such job.
	NotFound
	// Refused means that the call was not carried out and never will be.
	Refused
	// Unknown means that the call may have been carried out.
	Unknown
)

// Answer answers a call.
type Answer struct {
	Code       Code
	State      job.State
	Waiting    int
	RetryAfter time.Duration
}

// refusalPause is when a caller may try again after the store did not answer.
const refusalPause = time.Second

func refused() Answer { return Answer{Code: Refused, RetryAfter: refusalPause} }

// Submit stores a job; answer is called once it is stored. A job that is
// already known is not stored a second time.
func (s *Shard) Submit(j *job.Job, answer func(Answer)) {
	if _, ok := s.unreadable[j.ID]; ok {
		answer(Answer{Code: Unknown})
		return
	}
	if _, ok := s.ended[j.ID]; ok {
		answer(Answer{Code: OK})
		return
	}
	if js, ok := s.jobs[j.ID]; ok {
		if js.stored {
			answer(Answer{Code: OK})
		} else {
			js.waiters = append(js.waiters, answer)
		}
		return
	}
	if !s.canAct() || s.closed || s.slow() {
		s.record(eventlog.JobRefused, eventlog.Fields{"job": j.ID, "queue": j.Queue, "active": s.active, "right": s.o.HasRight(), "slow": s.slow()})
		answer(refused())
		return
	}
	j.Accepted = s.o.Wall()
	js := newJobState(j)
	s.arrivals++
	js.sequence = s.arrivals
	js.submitted = s.o.Clock()
	js.waiters = append(js.waiters, answer)
	s.jobs[j.ID] = js
	s.journal.inserts = append(s.journal.inserts, js)
	s.flush()
}

// stored makes a job known whose row was committed.
func (s *Shard) stored(js *jobState) {
	js.stored = true
	js.answer(Answer{Code: OK})
	s.record(eventlog.JobAccepted, eventlog.Fields{"job": js.job.ID, "queue": js.job.Queue, "steps": len(js.job.Steps)})
	s.noteArrival(js)
	s.release(js)
}

func (js *jobState) answer(a Answer) {
	for _, waiter := range js.waiters {
		waiter(a)
	}
	js.waiters = nil
}

func (js *jobState) answerCancels(a Answer) {
	for _, waiter := range js.cancels {
		waiter(a)
	}
	js.cancels = nil
}

// Lookup returns the state of a job as far as it is committed.
func (s *Shard) Lookup(queue job.Queue, id job.ID) Answer {
	if _, ok := s.unreadable[id]; ok {
		return Answer{Code: Unknown}
	}
	if e, ok := s.ended[id]; ok && e.queue == queue {
		return Answer{Code: OK, State: e.state}
	}
	js, ok := s.jobs[id]
	switch {
	case ok && js.job.Queue != queue:
		return Answer{Code: NotFound}
	case ok && js.started:
		return Answer{Code: OK, State: job.Running}
	case ok:
		return Answer{Code: OK, State: job.Queued}
	case !s.active || !s.o.HasRight():
		return refused() // Another owner may know the job.
	}
	return Answer{Code: NotFound}
}

// Cancel ends a job; answer is called once that is committed.
func (s *Shard) Cancel(queue job.Queue, id job.ID, answer func(Answer)) {
	if _, ok := s.unreadable[id]; ok {
		answer(Answer{Code: Unknown})
		return
	}
	if e, ok := s.ended[id]; ok && e.queue == queue {
		answer(Answer{Code: OK})
		return
	}
	js, ok := s.jobs[id]
	switch {
	case !ok && (!s.active || !s.o.HasRight()):
		answer(refused())
	case !ok || js.job.Queue != queue:
		answer(Answer{Code: NotFound})
	case js.outcome != 0:
		js.cancels = append(js.cancels, answer)
	default:
		js.cancels = append(js.cancels, answer)
		if !js.stored {
			// The insert settles first, since its transaction may be under way.
			js.waiters = append(js.waiters, func(Answer) { s.end(js, job.Cancelled) })
			return
		}
		s.end(js, job.Cancelled)
	}
}

// Waiting returns the number of stored jobs of a queue that have not started.
func (s *Shard) Waiting(queue job.Queue) Answer {
	if !s.active {
		return refused()
	}
	n := 0
	for _, js := range s.jobs {
		if js.job.Queue == queue && js.stored && !js.started && js.outcome == 0 && js.job.ScheduledOccurrences == 0 {
			n++
		}
	}
	return Answer{Code: OK, Waiting: n}
}

// end decides how a job ends. Its tasks are stopped, and the state is shown
// once it is committed.
func (s *Shard) end(js *jobState, outcome job.State) {
	if js.outcome != 0 {
		return
	}
	js.outcome = outcome
	s.journal.dirty[js] = struct{}{}
	for _, step := range js.steps {
		delete(s.steps, step)
		delete(s.timed, step)
	}
	if outcome != job.Cancelled {
		s.stopAll(js)
	}
	s.flush()
}

// finished shows the end of a job, which is committed.
func (s *Shard) finished(js *jobState) {
	delete(s.jobs, js.job.ID)
	s.ended[js.job.ID] = ended{js.outcome, js.job.Queue, s.o.Wall()}
	s.record(eventlog.JobEnded, eventlog.Fields{"job": js.job.ID, "queue": js.job.Queue, "state": js.outcome.String(), "took": (s.o.Clock() - js.submitted).String()})
	js.answerCancels(Answer{Code: OK})
	s.stopAll(js)
}

func (s *Shard) stopAll(js *jobState) {
	for _, step := range js.steps {
		for _, t := range step.tasks {
			for _, a := range t.attempts {
				s.stop(a)
			}
		}
	}
}

const sweepInterval = 5 * time.Second

// sweepEnded forgets jobs that ended long ago.
func (s *Shard) sweepEnded(now time.Duration) {
	if now-s.lastSweep < sweepInterval {
		return
	}
	s.lastSweep = now
	for id := range s.unanswered {
		s.forgetLate(id)
	}
	limit := s.o.Wall().Add(-s.o.KeepEnded)
	for id, e := range s.ended {
		if e.at.Before(limit) {
			delete(s.ended, id)
			s.journal.drops = append(s.journal.drops, s.key(tableProgress, string(id)))
		}
	}
}
