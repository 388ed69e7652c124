package scheduler

import (
	"slices"
	"time"

	"peridotcrank.dev/jobs/job"
)

const (
	// provenSuccesses is the number of successful runs since its last failure from which
	// a worker is proven. A worker that fails 45 % of its runs reaches it with a
	// probability of 0.007 %.
	provenSuccesses = 16
	// A worker is faulty from faultyFailures jobs with a failed run on, with fewer than
	// faultySuccesses successful runs in between. Jobs that can never succeed fail on
	// healthy workers too, but rarely this often.
	faultyFailures  = 3
	faultySuccesses = 8
	// evidenceWindow is how long the outcome of a run says something about a worker.
	evidenceWindow = 2 * time.Minute
	// maxRecordedFailures bounds the failures of a worker that are remembered.
	maxRecordedFailures = 8
)

// WorkerRecord holds the recent outcomes of runs on one worker. The zero value is the
// record of a worker without runs.
type WorkerRecord struct {
	successes [provenSuccesses]time.Duration // Ring of the times of the latest successful runs.
	total     int                            // Number of successful runs.
	failures  []recordedFailure              // Oldest first, at most one for each job.
	backoffs  int                            // Backoffs since the worker was last proven.
}

type recordedFailure struct {
	job job.ID
	at  time.Duration
}

// AddSuccess records a successful run.
func (r *WorkerRecord) AddSuccess(now time.Duration) {
	r.successes[r.total%provenSuccesses] = now
	r.total++
	if r.backoffs > 0 && r.Standing(now).Proven() {
		r.backoffs = 0
	}
}

func (r *WorkerRecord) addFailure(id job.ID, now time.Duration) {
	r.removeFailure(id)
	if len(r.failures) == maxRecordedFailures {
		r.failures = r.failures[1:]
	}
	r.failures = append(r.failures, recordedFailure{id, now})
}

func (r *WorkerRecord) removeFailure(id job.ID) {
	r.failures = slices.DeleteFunc(r.failures, func(f recordedFailure) bool { return f.job == id })
}

// successesSince returns the number of successful runs after a time, at most
// provenSuccesses.
func (r *WorkerRecord) successesSince(after time.Duration) (n int) {
	for _, at := range r.successes[:min(r.total, provenSuccesses)] {
		if at > after {
			n++
		}
	}
	return n
}

// LastFailed reports whether a run has failed since the last successful one.
func (r *WorkerRecord) LastFailed() bool {
	n := len(r.failures)
	return n > 0 && (r.total == 0 || r.failures[n-1].at > r.successes[(r.total-1)%provenSuccesses])
}

// NextBackoff returns how often the worker was put into backoff since it was last proven,
// and counts another one.
func (r *WorkerRecord) NextBackoff() int {
	r.backoffs++
	return r.backoffs - 1
}

// Standing summarizes the record of a worker at one time.
type Standing struct {
	Successes int  // Successful runs since the last failure, at most provenSuccesses.
	Failures  int  // Jobs with a recent failed run.
	Faulty    bool // Runs of several jobs have failed, with few successful runs in between.
	// RackFaulty is set when most workers of the rack are faulty.
	RackFaulty bool
}

// Proven reports whether the worker is almost certainly not faulty.
func (s Standing) Proven() bool { return s.Successes >= provenSuccesses }

// Standing returns the standing of the worker, without that of its rack.
func (r *WorkerRecord) Standing(now time.Duration) Standing {
	since := now - evidenceWindow
	recent := r.failures
	for len(recent) > 0 && recent[0].at <= since {
		recent = recent[1:]
	}
	if len(recent) == 0 {
		return Standing{Successes: r.successesSince(since)}
	}
	s := Standing{Successes: r.successesSince(recent[len(recent)-1].at), Failures: len(recent)}
	if n := len(recent); n >= faultyFailures {
		s.Faulty = r.successesSince(recent[n-faultyFailures].at) < faultySuccesses
	}
	return s
}

// JobRecord attributes the failed runs of one job to workers. A job of which a task fails
// on two workers, with a failure on a proven worker, cannot succeed: its failures say
// nothing about the workers. The zero value is the record of a job without failures.
type JobRecord struct {
	workers       []*WorkerRecord
	failedProven  bool
	cannotSucceed bool
}

// AddFailure records a failed run on a worker. repeated is set when the same task has
// failed on another worker before.
func (j *JobRecord) AddFailure(id job.ID, w *WorkerRecord, repeated bool, now time.Duration) {
	if j.cannotSucceed {
		return
	}
	j.failedProven = j.failedProven || w.Standing(now).Proven()
	w.addFailure(id, now)
	j.workers = append(j.workers, w)
	if repeated && j.failedProven {
		j.cannotSucceed = true
		for _, other := range j.workers {
			other.removeFailure(id)
		}
		j.workers = nil
	}
}

// CannotSucceed reports whether the job fails on workers that are not faulty.
func (j *JobRecord) CannotSucceed() bool { return j.cannotSucceed }

// FailuresAreRecent reports whether a failure at the given time still affects decisions.
func FailuresAreRecent(lastFailure, now time.Duration) bool {
	return lastFailure > 0 && now-lastFailure < evidenceWindow
}

// minFaultyWorkers is the number of faulty workers from which a rack may be faulty.
const minFaultyWorkers = 3

// RackFaults counts the faulty workers by rack. The zero value is ready for use.
type RackFaults struct{ workers, faulty map[string]int }

// Add counts a worker.
func (r *RackFaults) Add(rack string, s Standing) {
	if r.workers == nil {
		r.workers, r.faulty = map[string]int{}, map[string]int{}
	}
	r.workers[rack]++
	if s.Faulty {
		r.faulty[rack]++
	}
}

// Faulty reports whether most workers of a rack are faulty.
func (r *RackFaults) Faulty(rack string) bool {
	return rack != "" && r.faulty[rack] >= minFaultyWorkers && 2*r.faulty[rack] > r.workers[rack]
}

// MaxBackoffShift bounds how often the backoff of a worker that fails again doubles.
const MaxBackoffShift = 4
