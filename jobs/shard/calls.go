package shard

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/rows"
)

// Code is the result code of a call to a shard.
type Code uint8

// Result codes of calls.
const (
	OK Code = iota + 1
	// NotFound means that the job does not exist.
	NotFound
	// Refused means that the call was not carried out and never will be.
	Refused
	// Unknown means that the call may or may not have been carried out.
	Unknown
	// Conflict means that the job belongs to another workspace. The call was not carried
	// out.
	Conflict
	// Limited means that the call was not carried out and never will be, because the
	// workspace sends more than its weight.
	Limited
	// Invalid means that the job can never run; the call was not carried out.
	Invalid
	// NotConfigured means that this owner has not received the configuration of the queue
	// yet. The call was not carried out.
	NotConfigured
)

// Result is the outcome of a call.
type Result struct {
	Code       Code
	State      job.State
	Waiting    int
	RetryAfter time.Duration
	Detail     string // Reason of Invalid.
}

// refusalRetryAfter is how long a refused caller should wait before it tries again, for
// example while the store does not reply.
const refusalRetryAfter = time.Second

func refusedResult() Result { return Result{Code: Refused, RetryAfter: refusalRetryAfter} }

// Submit stores a job and calls reply once it is stored. A job that is already known
// is not stored a second time. Workers know a task only by the ID of its job, so an ID
// that another workspace uses cannot be used again.
func (s *Shard) Submit(j *job.Job, reply func(Result)) {
	if _, ok := s.unreadable[j.ID]; ok {
		reply(Result{Code: Unknown})
		return
	}
	if e, ok := s.ended[j.ID]; ok {
		reply(s.resultOfKnown(j, e.queue, e.workspace))
		return
	}
	if js, ok := s.jobs[j.ID]; ok {
		s.submitAgain(js, j, reply)
		return
	}
	if !s.canAct() || s.draining || s.storeIsSlow() || s.homeIsLate(j.Queue) {
		s.recordRefusal(j)
		reply(refusedResult())
		return
	}
	if _, ok := s.queues[j.Queue]; !ok {
		reply(Result{Code: NotConfigured})
		return
	}
	if err := rowError(j); err != nil {
		reply(Result{Code: Invalid, Detail: err.Error()})
		return
	}
	if err := s.capError(j); err != nil {
		reply(Result{Code: Invalid, Detail: err.Error()})
		return
	}
	if !s.reserveJob(j) {
		s.recordRefusal(j)
		reply(Result{Code: Refused, RetryAfter: memoryRetryAfter})
		return
	}
	j.Accepted = s.opts.WallClock()
	js := newJobState(j, s.keptTasks)
	js.sequence = s.lastSequence + 1
	js.submitted = s.opts.Clock()
	if r := s.admit(js); r != nil {
		s.forgetJob(js)
		reply(Result{Code: Limited, RetryAfter: r.retryAfter})
		return
	}
	s.lastSequence = js.sequence
	s.addToBacklog(js)
	js.submitWaiters = append(js.submitWaiters, reply)
	s.jobs[j.ID] = js
	s.queueInsert(js)
	s.requestShareFor(js)
	s.flush()
}

// submitAgain replies to the submission of a job whose ID is that of a known one, once that is stored.
func (s *Shard) submitAgain(known *jobState, j *job.Job, reply func(Result)) {
	if known.stored {
		reply(s.resultOfKnown(j, known.job.Queue, known.job.Workspace))
		return
	}
	known.submitWaiters = append(known.submitWaiters, func(a Result) {
		if a.Code == OK {
			a = s.resultOfKnown(j, known.job.Queue, known.job.Workspace)
		}
		reply(a)
	})
}

// rowError returns an error for a job whose row the store would not accept. The store refuses
// the whole transaction, so the row would keep the shard from storing anything.
func rowError(j *job.Job) error {
	record := job.ToRecord(j)
	if proto.Size(record) <= rows.MaxPlainBytes {
		return nil
	}
	value, err := packRecord(record)
	if err != nil {
		return fmt.Errorf("encode the job: %w", err)
	}
	if len(value) > maxRowBytes {
		return fmt.Errorf("the job takes %d bytes in the store, more than %d: %w", len(value), maxRowBytes, rows.ErrTooLarge)
	}
	return nil
}

// refuseUnsentJobs refuses the submissions that wait for a transaction while the store does
// not reply. Their rows were never sent, so the refusal is certain and the callers can try
// again, whereas a submission that runs into its deadline has an unknown outcome.
func (s *Shard) refuseUnsentJobs() {
	if s.storeIsSlow() {
		s.journal.inserts = s.refuseJobs(s.journal.inserts)
	}
	for address, request := range s.homeRequests {
		if s.isLate(request) {
			request.waiting = s.refuseJobs(request.waiting)
			s.homeRequests[address] = request
		}
	}
}

// refuseJobs refuses jobs whose rows were never sent and returns those that it keeps.
func (s *Shard) refuseJobs(unsent []*jobState) []*jobState {
	kept := unsent[:0]
	for _, js := range unsent {
		if js.outcome != 0 || len(js.cancelWaiters) > 0 {
			kept = append(kept, js) // The cancellation is answered once the insert is decided.
			continue
		}
		s.forgetJob(js)
		s.removeExcess(js)
		s.recordRefusal(js.job)
		js.replyToSubmissions(refusedResult())
	}
	return kept
}

func (s *Shard) recordRefusal(j *job.Job) {
	s.recordEvent(eventlog.JobRefused, eventlog.Fields{"job": j.ID, "queue": j.Queue, "active": s.active, "right": s.opts.OwnsShard(), "slow": s.storeIsSlow(), "kept": s.keptJobs.Used()})
}

// accessResult returns OK if the caller's workspace owns a job, and Conflict otherwise.
func accessResult(owner, caller job.Workspace) Result {
	if owner != caller {
		return Result{Code: Conflict}
	}
	return Result{Code: OK}
}

// resultOfKnown returns the result of the submission of a job whose ID this shard knows as that of a
// job of a queue and a workspace.
func (s *Shard) resultOfKnown(j *job.Job, queue job.Queue, workspace job.Workspace) Result {
	if !s.servesSameCallers(j.Queue, queue) {
		return Result{Code: Conflict}
	}
	return accessResult(workspace, j.Workspace)
}

// handleJobStored replies to the submissions of a job whose row was committed, and
// releases its first steps.
func (s *Shard) handleJobStored(js *jobState) {
	js.stored = true
	js.replyToSubmissions(Result{Code: OK})
	fields := eventlog.Fields{"job": js.job.ID, "queue": js.job.Queue, "steps": len(js.job.Steps)}
	if js.excessRound > 0 {
		fields["workspace"], fields["excess_round"] = js.job.Workspace, js.excessRound
	}
	s.recordEvent(eventlog.JobAccepted, fields)
	s.recordArrival(js)
	s.releaseSteps(js)
}

func (js *jobState) replyToSubmissions(a Result) {
	for _, waiter := range js.submitWaiters {
		waiter(a)
	}
	js.submitWaiters = nil
}

func (js *jobState) replyToCancellations(a Result) {
	for _, waiter := range js.cancelWaiters {
		waiter(a)
	}
	js.cancelWaiters = nil
}

// Lookup calls reply with the state of a job, once its row is committed. The end of a job is
// visible only after it is committed. The result is Conflict if the job belongs to another
// workspace.
func (s *Shard) Lookup(workspace job.Workspace, queue job.Queue, id job.ID, reply func(Result)) {
	js, ok := s.jobs[id]
	if !ok || js.stored || !s.servesSameCallers(queue, js.job.Queue) {
		reply(s.lookupStored(workspace, queue, id))
		return
	}
	js.submitWaiters = append(js.submitWaiters, func(Result) {
		if s.stopped {
			reply(refusedResult()) // Another owner may know the job.
			return
		}
		reply(s.lookupStored(workspace, queue, id)) // A job that was not stored is not known any more.
	})
}

// lookupStored returns the state of a job that is stored, has ended or is not known.
func (s *Shard) lookupStored(workspace job.Workspace, queue job.Queue, id job.ID) Result {
	if _, ok := s.unreadable[id]; ok {
		return Result{Code: Unknown}
	}
	if e, ok := s.ended[id]; ok && s.servesSameCallers(queue, e.queue) {
		if e.workspace != workspace {
			return Result{Code: Conflict}
		}
		return Result{Code: OK, State: e.state}
	}
	js, ok := s.jobs[id]
	switch {
	case ok && !s.servesSameCallers(queue, js.job.Queue):
		return Result{Code: NotFound}
	case ok && js.job.Workspace != workspace:
		return Result{Code: Conflict}
	case ok:
		return Result{Code: OK, State: js.openState()}
	case !s.active || !s.opts.OwnsShard():
		return refusedResult() // Another owner may know the job.
	}
	return Result{Code: NotFound}
}

// Cancel cancels a job and calls reply once the cancellation is committed. The result is
// Conflict if the job belongs to another workspace.
func (s *Shard) Cancel(workspace job.Workspace, queue job.Queue, id job.ID, reply func(Result)) {
	if _, ok := s.unreadable[id]; ok {
		reply(Result{Code: Unknown})
		return
	}
	if e, ok := s.ended[id]; ok && s.servesSameCallers(queue, e.queue) {
		reply(accessResult(e.workspace, workspace))
		return
	}
	js, ok := s.jobs[id]
	switch {
	case !ok && (!s.active || !s.opts.OwnsShard()):
		reply(refusedResult())
	case !ok || !s.servesSameCallers(queue, js.job.Queue):
		reply(Result{Code: NotFound})
	case js.job.Workspace != workspace:
		reply(Result{Code: Conflict})
	case js.outcome != 0:
		js.cancelWaiters = append(js.cancelWaiters, reply)
	default:
		js.cancelWaiters = append(js.cancelWaiters, reply)
		if !js.stored {
			// The insert must complete first, since its transaction may be in flight.
			js.submitWaiters = append(js.submitWaiters, func(Result) { s.endIfStored(js, job.Cancelled) })
			return
		}
		s.endJob(js, job.Cancelled)
	}
}

// Waiting returns the number of stored jobs of a queue of which no worker has begun a task.
func (s *Shard) Waiting(queue job.Queue) Result {
	if !s.active || !s.opts.OwnsShard() {
		return refusedResult() // Another owner may have more jobs.
	}
	n := 0
	for _, js := range s.jobs {
		if js.job.Queue == queue && js.canStartTasks() && !js.begun {
			n++
		}
	}
	return Result{Code: OK, Waiting: n}
}

// endIfStored ends a job unless it was not stored in the end.
func (s *Shard) endIfStored(js *jobState, outcome job.State) {
	if js.stored {
		s.endJob(js, outcome)
	}
}

// endJob sets the outcome of a job, which becomes visible once it is committed. The
// tasks are stopped at once, except those of a cancelled job, which run until the
// commit.
func (s *Shard) endJob(js *jobState, outcome job.State) {
	if js.outcome != 0 {
		return
	}
	js.outcome = outcome
	s.removeExcess(js)
	s.journal.changedJobs[js] = struct{}{}
	for _, step := range js.steps {
		delete(s.startableSteps, step)
		delete(s.delayedSteps, step)
	}
	if outcome != job.Cancelled {
		s.stopJobAttempts(js)
	}
	s.flush()
}

// handleJobEnded publishes the end of a job after it is committed, and stops its
// remaining runs.
func (s *Shard) handleJobEnded(js *jobState) {
	delete(s.jobs, js.job.ID)
	s.addEnded(js.job.ID, endedJob{js.outcome, js.job.Queue, js.job.Workspace, s.opts.WallClock(), js.job.IDPart})
	s.recordEvent(eventlog.JobEnded, eventlog.Fields{"job": js.job.ID, "queue": js.job.Queue, "state": js.outcome.String(), "took": (s.opts.Clock() - js.submitted).String()})
	js.replyToCancellations(Result{Code: OK})
	s.stopJobAttempts(js)
	s.forgetJob(js)
}

func (s *Shard) stopJobAttempts(js *jobState) {
	for _, step := range js.steps {
		for t := range step.kept() {
			for _, a := range t.attempts {
				s.traceStop(a, stopJobEnded)
				s.stopAttempt(a)
			}
		}
	}
}

const sweepInterval = 5 * time.Second

// removeExpiredRecords removes unanswered starts that can no longer be carried out, jobs
// that ended longer ago than KeepEnded, and the queues of which no jobs are left.
func (s *Shard) removeExpiredRecords(now time.Duration) {
	if now-s.lastSweep < sweepInterval {
		return
	}
	s.lastSweep = now
	for id := range s.unansweredStarts {
		s.removeExpiredStarts(id)
	}
	limit := s.opts.WallClock().Add(-s.opts.KeepEnded)
	for id, e := range s.ended {
		if e.at.Before(limit) {
			s.forgetEnded(id)
			s.journal.deletions = append(s.journal.deletions, s.rowKey(tableProgress, string(id)), s.idKey(id, e.idPart))
		}
	}
	s.removeUnusedQueues()
}
