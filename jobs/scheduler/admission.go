package scheduler

import (
	"hash/fnv"
	"math"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/workspaces"
)

// Work is an amount of work: resources multiplied by the seconds for which they are
// occupied.
type Work struct {
	CPU      float64 // Thousandths of a core, for one second.
	MemoryMB float64
	GPU      float64
}

// WorkOf returns the work of a number of tasks that occupy the resources for d each.
func WorkOf(r job.Resources, d time.Duration, tasks int) Work {
	seconds := d.Seconds() * float64(tasks)
	return Work{seconds * float64(r.CPU), seconds * float64(r.MemoryMB), seconds * float64(r.GPU)}
}

// Plus returns the sum of both amounts.
func (w Work) Plus(o Work) Work {
	return Work{w.CPU + o.CPU, w.MemoryMB + o.MemoryMB, w.GPU + o.GPU}
}

// PoolLoad describes what a new job has to wait for in a pool.
type PoolLoad struct {
	// Capacity is the capacity that becomes free again, which excludes that of
	// long-running tasks.
	Capacity job.Resources
	// Ahead is the waiting work that is served before the job.
	Ahead Work
	// Arriving is the work per second of new jobs that are served before the job.
	Arriving Work
}

const (
	// maxExpectedWait is the expected wait in a pool without capacity for the job.
	maxExpectedWait = time.Hour
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller
	// should try again. Callers receive it in whole seconds.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// ExpectedWait returns the expected time until all work ahead has started. The part of
// the capacity that newly arriving work occupies does not serve the work ahead.
func (l PoolLoad) ExpectedWait() time.Duration {
	return max(
		duration(l.Ahead.CPU, float64(l.Capacity.CPU)-l.Arriving.CPU),
		duration(l.Ahead.MemoryMB, float64(l.Capacity.MemoryMB)-l.Arriving.MemoryMB),
		duration(l.Ahead.GPU, float64(l.Capacity.GPU)-l.Arriving.GPU),
	)
}

// serviceTime returns the time that the whole pool takes for an amount of work.
func (l PoolLoad) serviceTime(own Work) time.Duration {
	return max(
		duration(own.CPU, float64(l.Capacity.CPU)),
		duration(own.MemoryMB, float64(l.Capacity.MemoryMB)),
		duration(own.GPU, float64(l.Capacity.GPU)),
	)
}

// Slack returns how long a job may wait and still complete within its objective. It is
// 0 for a job that takes longer than its objective.
func (l PoolLoad) Slack(w RemainingWork, own Work) time.Duration {
	return max(w.Objective-max(w.CriticalPath, l.serviceTime(own)), 0)
}

// duration returns the time in which a rate per second serves an amount.
func duration(amount, rate float64) time.Duration {
	switch {
	case amount <= 0:
		return 0
	case rate <= 0 || amount/rate >= maxExpectedWait.Seconds():
		return maxExpectedWait
	}
	return time.Duration(amount / rate * float64(time.Second))
}

// RetryAfter returns when the caller of a refused job should try again. The times are
// spread by a hash of the job's ID, since callers that are refused together would
// otherwise return together.
func RetryAfter(id job.ID, untilFits time.Duration) time.Duration {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	earliest := min(max(untilFits, minRetryAfter), maxRetryAfter/2)
	return earliest + time.Duration(float64(hash.Sum32())/math.MaxUint32*float64(earliest))
}

const (
	// waitingSeconds is the number of seconds of its weight that a workspace may have
	// waiting as excess jobs.
	waitingSeconds = 2
	// minWaitingExcess is the lowest bound on the waiting excess jobs of a workspace.
	minWaitingExcess = 4
)

// MaxWaitingExcess returns the bound on the waiting excess jobs of a workspace.
func MaxWaitingExcess(w workspaces.Workspace) int {
	return max(minWaitingExcess, int(math.Ceil(waitingSeconds*w.Weight)))
}
