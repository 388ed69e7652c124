package scheduler

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/workspaces"
)

const (
	// minBurst is the smallest number of jobs that a workspace may send at once.
	minBurst = 2
	// roundDuration is the time in which a workspace may send the excess jobs of one
	// round at its weight.
	roundDuration = time.Second
	// minRoundWeight bounds the share of a round that one job takes.
	minRoundWeight = 1.0
	// maxExcessRound bounds the rounds in which the excess jobs of a workspace wait.
	maxExcessRound = 1000
)

// RateLimits holds a token bucket for each workspace that sends jobs. The buckets are
// filled at the workspace's weight, hold the jobs of one second and start full.
type RateLimits struct {
	buckets map[job.Workspace]*bucket
}

// bucket is the state of one workspace.
type bucket struct {
	limiter *rate.Limiter
	// excessUntil is when a workspace that sent its excess jobs at its weight would
	// have sent the last of them.
	excessUntil time.Duration
}

// Allow takes a token for a new job and reports whether there was one: the job is then
// within the weight of its workspace.
func (l *RateLimits) Allow(w workspaces.Workspace, now time.Duration) bool {
	return l.bucket(w, now).limiter.AllowN(instant(now), 1)
}

// TimeUntilToken returns the time after which a workspace has a token for a new job, if
// a number of its waiting jobs take tokens before.
func (l *RateLimits) TimeUntilToken(w workspaces.Workspace, waiting int, now time.Duration) time.Duration {
	missing := float64(waiting+1) - l.bucket(w, now).limiter.TokensAt(instant(now))
	return duration(missing, w.Weight)
}

// NextExcessRound returns the round of the next excess job of a workspace, at least 1.
// In each round a workspace has the excess jobs of one second of its weight.
func (l *RateLimits) NextExcessRound(w workspaces.Workspace, now time.Duration) int {
	ahead := max(l.bucket(w, now).excessUntil-now, 0)
	return 1 + min(int(ahead/roundDuration), maxExcessRound-1)
}

// RecordExcess counts an excess job that was accepted.
func (l *RateLimits) RecordExcess(w workspaces.Workspace, now time.Duration) {
	b := l.bucket(w, now)
	b.excessUntil = max(b.excessUntil, now) + time.Duration(float64(roundDuration)/max(w.Weight, minRoundWeight))
}

// Retain removes the buckets of all workspaces that the table does not contain.
func (l *RateLimits) Retain(table *workspaces.Table) {
	for name := range l.buckets {
		if _, ok := table.Find(name); !ok {
			delete(l.buckets, name)
		}
	}
}

// bucket returns the bucket of a workspace, with the workspace's present weight.
func (l *RateLimits) bucket(w workspaces.Workspace, now time.Duration) *bucket {
	limit, burst := rate.Limit(w.Weight), burstOf(w.Weight)
	b := l.buckets[w.Name]
	if b == nil {
		if l.buckets == nil {
			l.buckets = map[job.Workspace]*bucket{}
		}
		b = &bucket{limiter: rate.NewLimiter(limit, burst)}
		l.buckets[w.Name] = b
	}
	if b.limiter.Limit() != limit {
		b.limiter.SetLimitAt(instant(now), limit)
		b.limiter.SetBurstAt(instant(now), burst)
	}
	return b
}

func burstOf(weight float64) int { return max(minBurst, int(math.Ceil(weight))) }

// instant converts a reading of a monotonic clock into the type that limiters use.
func instant(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
