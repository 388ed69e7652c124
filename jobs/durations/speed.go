package durations

import (
	"math"
	"time"

	"peridotcrank.dev/jobs/worker"
)

const (
	// speedHalfLife is the time after which a sample of a worker's speed has half of its
	// weight.
	speedHalfLife = 2 * time.Minute
	// normalSpeedWeight is the weight, in samples, of the assumption that a worker is as
	// fast as the others.
	normalSpeedWeight = 4
	// maxSampleSlowdown bounds the ratio that one run contributes, since a long run is
	// more often due to its task.
	maxSampleSlowdown = 2
	// maxWorkers bounds the workers with a known speed.
	maxWorkers = 1024
	// slowFactor is the factor from which a worker counts as slow.
	slowFactor = 1.3
)

// Speeds estimates how fast workers are, compared to each other. If tasks take longer than
// expected on all of them, that is due to the tasks.
type Speeds struct {
	workers map[worker.ID]*speed
	all     speed
}

type speed struct {
	weight float64
	sum    float64 // Of the logarithms of the ratios.
	at     time.Duration
}

// NewSpeeds returns the speeds of workers without samples.
func NewSpeeds() *Speeds { return &Speeds{workers: map[worker.ID]*speed{}} }

// Observe adds a run that took duration where expected is typical. now must not decrease.
func (s *Speeds) Observe(id worker.ID, duration, expected, now time.Duration) {
	if duration <= 0 || expected <= 0 {
		return
	}
	w := s.workers[id]
	if w == nil {
		if len(s.workers) >= maxWorkers {
			s.removeOldest()
		}
		w = &speed{at: now}
		s.workers[id] = w
	}
	ratio := min(max(float64(duration)/float64(expected), 1.0/maxSampleSlowdown), maxSampleSlowdown)
	w.add(math.Log(ratio), now)
	s.all.add(math.Log(ratio), now)
}

func (w *speed) add(logRatio float64, now time.Duration) {
	w.decay(now)
	w.weight++
	w.sum += logRatio
}

func (w *speed) decay(now time.Duration) {
	if now <= w.at {
		return
	}
	factor := math.Exp2(-float64(now-w.at) / float64(speedHalfLife))
	w.weight, w.sum, w.at = w.weight*factor, w.sum*factor, now
}

func (s *Speeds) removeOldest() {
	var oldest worker.ID
	var at time.Duration = math.MaxInt64
	for id, w := range s.workers {
		if w.at < at {
			oldest, at = id, w.at
		}
	}
	delete(s.workers, oldest)
}

// Slowdown returns how many times longer than on others tasks take on a worker. It is 1 for
// a worker without samples, and approaches 1 as the samples age.
func (s *Speeds) Slowdown(id worker.ID, now time.Duration) float64 {
	w := s.workers[id]
	if w == nil {
		return 1
	}
	w.decay(now)
	s.all.decay(now)
	mean := s.all.sum / max(s.all.weight, w.weight)
	return math.Exp((w.sum - w.weight*mean) / (w.weight + normalSpeedWeight))
}

// IsSlow reports whether tasks take clearly longer on a worker than usual.
func (s *Speeds) IsSlow(id worker.ID, now time.Duration) bool {
	return s.Slowdown(id, now) >= slowFactor
}

// minKnownWeight is the weight of samples from which a worker counts as known: one run
// within a half-life.
const minKnownWeight = 0.5

// IsKnown reports whether a run has completed on a worker recently.
func (s *Speeds) IsKnown(id worker.ID, now time.Duration) bool {
	w := s.workers[id]
	if w == nil {
		return false
	}
	w.decay(now)
	return w.weight >= minKnownWeight
}
