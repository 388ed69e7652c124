package durations

import (
	"cmp"
	"math"
	"slices"
	"time"

	"peridotcrank.dev/jobs/job"
)

// Predictor predicts the mean duration of the tasks of one group.
type Predictor struct {
	model *Model
	key   Key
}

// Predictor returns the predictor for the tasks of a step.
func (m *Model) Predictor(queue job.Queue, step *job.Step) Predictor {
	return Predictor{m, NewKey(queue, step)}
}

// Observe adds the duration of a run that completed its task.
func (p Predictor) Observe(estimate, actual time.Duration) {
	p.key.Estimate = estimate
	p.model.Observe(p.key, actual)
}

// Predict returns the expected duration of a task with the given estimate.
func (p Predictor) Predict(estimate time.Duration) time.Duration {
	p.key.Estimate = estimate
	return p.model.Distribution(p.key).Mean()
}

// Trained reports whether the queue has enough samples to judge runs.
func (p Predictor) Trained() bool { return p.model.Trained(p.key) }

// Summary describes the durations of a queue at its usual estimate.
type Summary struct {
	Queue    job.Queue
	Estimate time.Duration
	Median   time.Duration
	Tail     time.Duration // 95 of 100 tasks take no longer.
	Samples  float64       // Weight of the samples, after decay.
}

const summaryTail = 0.95

// Summaries describes all queues with samples, ordered by their names.
func (m *Model) Summaries() []Summary {
	summaries := make([]Summary, 0, len(m.queues))
	for name, q := range m.queues {
		if q.trend.weight == 0 {
			continue
		}
		x := q.trend.sumX / q.trend.weight
		d := Distribution{q.currentCurve(nil), seconds(math.Exp(x + predict(x, q, nil)))}
		summaries = append(summaries, Summary{
			Queue: name, Estimate: seconds(math.Exp(x)), Median: d.Quantile(0.5), Tail: d.Quantile(summaryTail), Samples: q.trend.weight,
		})
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return cmp.Compare(a.Queue, b.Queue) })
	return summaries
}
