package shard

import (
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/scheduler"
	"peridotcrank.dev/jobs/worker"
)

// Shard runs the jobs of one pool. All its methods run on the loop.
type Shard struct {
	o       Options
	journal journal
	queues  Queues

	active  bool // The rows are loaded.
	stopped bool
	closed  bool // Being handed over: nothing new begins.
	// takenAt is when this process became the owner.
	takenAt time.Duration
	// inheritedHold is the longest lease that former owners gave.
	inheritedHold time.Duration

	arrivals uint64
	jobs     map[job.ID]*jobState
	ended    map[job.ID]ended
	// unreadable are jobs with a row that cannot be decoded; nothing is said of them.
	unreadable map[job.ID]struct{}
	workers    map[worker.ID]*workerState
	// steps are the steps whose tasks may be started, in no order.
	steps map[*stepState]struct{}
	// timed are steps that wait for their due time.
	timed map[*stepState]struct{}
	// unaccounted counts workers of former owners that may still run tasks.
	unaccounted int
	placing     bool
	adviceCalls int // Calls for advice under way.
	registry    []worker.Info
	listed      bool // The registry was read since this process became the owner.
	lastSweep   time.Duration
	// lastMoment is the last that next returned.
	lastMoment moment
	// unanswered are starts without an answer, by worker, with when they were
	// sent. They may be carried out late, also by a later life of the worker.
	unanswered map[worker.ID]map[runKey]time.Duration
	learned    map[job.Queue]*scheduler.DurationPredictor
	recent     []arrival // Oldest first.
}

// New returns a shard; Start begins its work.
func New(o Options) (*Shard, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	s := &Shard{
		o: o, queues: Queues{}, jobs: map[job.ID]*jobState{}, ended: map[job.ID]ended{},
		workers: map[worker.ID]*workerState{}, unanswered: map[worker.ID]map[runKey]time.Duration{}, steps: map[*stepState]struct{}{}, timed: map[*stepState]struct{}{},
		learned: map[job.Queue]*scheduler.DurationPredictor{},
	}
	s.journal.init()
	return s, nil
}

// Start claims the head row and loads the shard.
func (s *Shard) Start() {
	s.takenAt = s.o.Clock()
	s.claim()
}

// Stop ends all work of the shard. Callers that wait for a commit learn that
// its outcome is unknown.
func (s *Shard) Stop() {
	if s.stopped {
		return
	}
	s.stopped = true
	for _, js := range s.jobs {
		code := Unknown
		if !js.stored && !s.journal.sent(js) {
			code = Refused
		}
		js.answer(Answer{Code: code})
		js.answerCancels(Answer{Code: Unknown})
	}
}

// Close ends the start of tasks and the acceptance of jobs; what was accepted
// is still committed.
func (s *Shard) Close() { s.closed = true }

// Idle reports whether nothing waits for a commit.
func (s *Shard) Idle() bool { return s.stopped || s.journal.idle() }

// SetQueues puts the configuration of queues in force. Queues that were
// removed keep their last configuration for the jobs they still have.
func (s *Shard) SetQueues(queues Queues) {
	for name, q := range queues {
		s.queues[name] = q
	}
	s.place()
}

// next returns the moment of an event on the loop, which is later than all before it.
func (s *Shard) next() moment {
	s.lastMoment++
	return s.lastMoment
}

// canAct reports whether orders and transactions may be sent now.
func (s *Shard) canAct() bool { return s.active && !s.stopped && s.o.HasRight() }

func (s *Shard) record(code eventlog.Code, fields eventlog.Fields) {
	fields["shard"] = s.o.Pool
	s.o.Recorder.Record(code, fields)
}

// lost gives the shard up after another owner was noticed.
func (s *Shard) lost(reason string) {
	if s.stopped {
		return
	}
	s.record(eventlog.ShardLost, eventlog.Fields{"reason": reason, "fence": s.o.Fence})
	s.Stop()
	s.o.Lost()
}

func (s *Shard) tick() {
	if s.stopped {
		return
	}
	s.o.Loop.After(tickInterval, s.tick)
	now := s.o.Clock()
	s.releaseTimed()
	for _, w := range s.workers {
		s.checkWorker(w, now)
	}
	s.sweepEnded(now)
	s.place()
	s.flush()
}
