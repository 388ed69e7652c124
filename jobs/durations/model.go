package durations

import (
	"math"
	"time"

	"peridotcrank.dev/jobs/job"
)

const (
	// maxQueues and maxGroups bound the queues and the groups below them.
	maxQueues = 32
	maxGroups = 64
	// evictionAge is the number of samples without one of a group after which the group
	// can be replaced by a new one.
	evictionAge = 200
	// coarseWeight is the weight, in samples, of the coarser group in the distribution of
	// a finer one.
	coarseWeight = 6
	// refreshShare is the share of new samples from which a curve is derived again.
	refreshShare = 1.0 / 8
	// minTrainedWeight is the number of samples of a queue from which its predictions are
	// used to judge runs.
	minTrainedWeight = 12
	// ratioUnit is the recorded value of a duration equal to the prediction.
	ratioUnit = 1000
	// defaultEstimate replaces the estimate of a task that declares none.
	defaultEstimate = time.Second
	// minDuration is the lower bound of durations before their logarithm is taken.
	minDuration = time.Millisecond
	// negligibleCensoring is the share of tasks that take longer than a censored run
	// from which the run carries no information.
	negligibleCensoring = 0.99
)

// prior is the distribution of a new queue, relative to the declared estimate. Estimates
// can be wrong by a factor of two, and few tasks take much longer than similar ones.
var prior = []point{
	{value: 0.5, weight: 0.12}, {value: 0.7, weight: 0.18}, {value: 0.9, weight: 0.2}, {value: 1.1, weight: 0.18},
	{value: 1.4, weight: 0.16}, {value: 1.9, weight: 0.13}, {value: 7, weight: 0.03},
}

// Key describes the tasks that are expected to take equally long.
type Key struct {
	Queue job.Queue
	Image string
	CPU   int64 // Thousandths of a core.
	// Estimate is the declared duration; 0 if there is none.
	Estimate time.Duration
}

// NewKey returns the key of the tasks of a step.
func NewKey(queue job.Queue, step *job.Step) Key {
	return Key{Queue: queue, Image: step.Image, CPU: step.Resources.CPU, Estimate: step.Estimate}
}

// logEstimate returns the logarithm of the declared estimate in seconds.
func (k Key) logEstimate() float64 {
	if k.Estimate <= 0 {
		return logSeconds(defaultEstimate)
	}
	return logSeconds(k.Estimate)
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minDuration).Seconds()) }

// groupKey identifies the tasks of a queue with the same image and CPU request.
type groupKey struct {
	queue job.Queue
	image string
	cpu   int64
}

// Model learns the durations of the tasks of a pool.
//
// The prediction for a task is its estimate, corrected by the trend of its queue and by
// that of its group. The histograms hold the ratios of the durations to the predictions
// at the time. Only their spread is used: while a trend adapts, its predictions are all too
// short or all too long.
type Model struct {
	queues map[job.Queue]*group
	groups map[groupKey]*group
	prior  *curve
	// samples counts all samples of the pool.
	samples uint64
}

// group is what is known about a queue, or about similar tasks of a queue.
type group struct {
	trend      trend
	ratios     histogram
	lastSample uint64
	saved      figures

	// curve is derived from the ratios, and from those of the queue.
	curve *curve
	// refreshAt and refreshQueueAt are the numbers of samples, of this group and of its
	// queue, at which the curve is derived again.
	refreshAt, refreshQueueAt uint64
}

// New returns a model without samples.
func New() *Model {
	return &Model{queues: map[job.Queue]*group{}, groups: map[groupKey]*group{}, prior: newCurve(append([]point(nil), prior...))}
}

// Observe adds the duration of a run that completed its task.
func (m *Model) Observe(key Key, duration time.Duration) {
	m.add(key, []time.Duration{duration})
}

// ObserveAtLeast adds a run that ended before its task was complete, or whose end was
// seen late: the task takes longer than elapsed.
//
// The sample counts as the durations that runs which lasted this long are known to take.
func (m *Model) ObserveAtLeast(key Key, elapsed time.Duration) {
	d := m.Distribution(key)
	if d.Exceeds(elapsed) > negligibleCensoring {
		return
	}
	var durations []time.Duration
	for _, q := range []float64{1.0 / 6, 3.0 / 6, 5.0 / 6} {
		duration, ok := d.quantileAfter(elapsed, q)
		if !ok {
			duration = elapsed + time.Duration(2*q*overrunShare*float64(elapsed))
		}
		durations = append(durations, duration)
	}
	m.add(key, durations)
}

// add adds one sample that consists of equally probable durations.
func (m *Model) add(key Key, durations []time.Duration) {
	m.samples++
	q := findOrAdd(m.queues, key.Queue, maxQueues, m.samples)
	if q == nil {
		return
	}
	g := findOrAdd(m.groups, groupKey{key.Queue, key.Image, key.CPU}, maxGroups, m.samples)
	x := key.logEstimate()
	predicted := x + predict(x, q, g)
	mean := 0.0
	share := 1 / float64(len(durations))
	queueShare := share * q.trend.confidence()
	for _, d := range durations {
		y := logSeconds(d)
		mean += y * share
		ratio := int64(math.Round(ratioUnit * math.Exp(y-predicted)))
		q.ratios.add(ratio, queueShare)
		if g != nil {
			g.ratios.add(ratio, share*g.trend.confidence())
		}
	}
	q.endSample(x, mean-x, m.samples)
	if g != nil {
		g.endSample(x, mean-x, m.samples)
	}
}

// predict returns the logarithm of the predicted ratio to the estimate; g can be nil.
func predict(x float64, queue, g *group) float64 {
	c := queue.trend.correct(x, correction{})
	if g != nil {
		c = g.trend.correct(x, c)
	}
	return c.value
}

func (g *group) endSample(x, y float64, now uint64) {
	g.trend.observe(x, y)
	g.ratios.endSample()
	g.lastSample = now
}

// findOrAdd returns the group of a key, and adds it if there is room; else nil. A full map
// loses the group that got no sample for the longest time, if that is longer than
// evictionAge.
func findOrAdd[K comparable](groups map[K]*group, key K, limit int, now uint64) *group {
	if g := groups[key]; g != nil {
		return g
	}
	if len(groups) >= limit {
		oldest := oldestGroup(groups)
		if now-groups[oldest].lastSample < evictionAge {
			return nil
		}
		delete(groups, oldest)
	}
	g := &group{ratios: newHistogram()}
	groups[key] = g
	return g
}

func oldestGroup[K comparable](groups map[K]*group) (oldest K) {
	at := uint64(math.MaxUint64)
	for key, g := range groups {
		if g.lastSample < at {
			oldest, at = key, g.lastSample
		}
	}
	return oldest
}

// Trained reports whether the queue of the key has enough samples to judge runs.
func (m *Model) Trained(key Key) bool {
	q := m.queues[key.Queue]
	return q != nil && q.trend.weight >= minTrainedWeight
}

// Distribution returns the distribution of the durations of tasks with the given key.
func (m *Model) Distribution(key Key) Distribution {
	x := key.logEstimate()
	q := m.queues[key.Queue]
	if q == nil {
		return Distribution{m.prior, seconds(math.Exp(x))}
	}
	g := m.groups[groupKey{key.Queue, key.Image, key.CPU}]
	scale := seconds(math.Exp(x + predict(x, q, g)))
	if g == nil {
		return Distribution{q.currentCurve(nil), scale}
	}
	return Distribution{g.currentCurve(q), scale}
}

func seconds(s float64) time.Duration { return max(time.Duration(s*float64(time.Second)), minDuration) }

// currentCurve returns the curve of a group in a queue, or of a queue if queue is nil. It
// derives the curve again when enough samples were added.
func (g *group) currentCurve(queue *group) *curve {
	queueSamples := uint64(0)
	if queue != nil {
		queueSamples = queue.ratios.samples
	}
	if g.curve == nil || g.ratios.samples >= g.refreshAt || queueSamples >= g.refreshQueueAt {
		g.curve = g.deriveCurve(queue)
		g.refreshAt, g.refreshQueueAt = nextRefresh(g.ratios.samples), nextRefresh(queueSamples)
	}
	return g.curve
}

// nextRefresh returns the number of samples at which a curve that was derived from the
// given number is derived again.
func nextRefresh(samples uint64) uint64 {
	return samples + max(uint64(refreshShare*float64(min(samples, halfLifeSamples))), 1)
}

// deriveCurve mixes the ratios of the group, its queue and the prior.
func (g *group) deriveCurve(queue *group) *curve {
	points := make([]point, 0, 64)
	points = g.ratios.appendPoints(points, 1)
	coarser := float64(coarseWeight)
	if queue == nil {
		coarser *= coarseWeight / (g.ratios.weight() + coarseWeight)
	} else {
		total := queue.ratios.weight()
		points = queue.ratios.appendPoints(points, coarser/(total+coarseWeight))
		coarser *= coarseWeight / (total + coarseWeight)
	}
	for _, p := range prior {
		points = append(points, point{value: p.value, weight: p.weight * coarser})
	}
	return newCurve(points)
}
