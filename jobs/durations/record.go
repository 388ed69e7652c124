package durations

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
)

const (
	// maxRecordBytes bounds the size of a record. Groups without recent samples are
	// left out first.
	maxRecordBytes = 6000
	// weightUnit is the recorded weight of one sample.
	weightUnit = 100
	// changedWeight and changedQuantile are the factors by which the weight and the
	// durations of a group have changed much.
	changedWeight   = 1.5
	changedQuantile = 1.125
)

var (
	errHistogram = errors.New("durations: invalid histogram")
	errTrend     = errors.New("durations: invalid trend")
)

// figures describe a histogram, and the trend by its correction at an estimate of 1 s.
type figures struct {
	weight       float64
	median, tail int64
	factor       float64
}

const tailQuantile = 0.9

func (g *group) figures() figures {
	h := g.ratios.counts
	return figures{g.ratios.weight(), h.ValueAtQuantile(50), h.ValueAtQuantile(100 * tailQuantile), math.Exp(g.trend.correct(0, correction{}).value)}
}

// differMuch reports whether the figures differ so much that a record is worthwhile.
func (f figures) differMuch(o figures) bool {
	return differBy(f.weight, o.weight, changedWeight) ||
		differBy(float64(f.median), float64(o.median), changedQuantile) ||
		differBy(float64(f.tail), float64(o.tail), changedQuantile) ||
		differBy(f.factor, o.factor, changedQuantile)
}

func differBy(a, b, factor float64) bool { return a > b*factor || b > a*factor }

// Changed reports whether the model differs much from its last record.
func (m *Model) Changed() bool {
	for _, q := range m.queues {
		if q.figures().differMuch(q.saved) {
			return true
		}
	}
	for _, g := range m.groups {
		if g.figures().differMuch(g.saved) {
			return true
		}
	}
	return false
}

// Record returns the record from which [Model.Merge] restores the model. Groups that do
// not fit within the bound on its size are left out.
func (m *Model) Record() *jobpb.Durations {
	record := &jobpb.Durations{}
	byQueue := map[job.Queue]*jobpb.QueueDurations{}
	size := 0
	for _, name := range byAge(m.queues) {
		q := m.queues[name]
		q.saved = q.figures()
		queue := &jobpb.QueueDurations{Queue: string(name), Trend: q.trend.values(), Ratios: q.ratios.record()}
		if n := proto.Size(queue) + fieldOverhead; size+n <= maxRecordBytes {
			size += n
			byQueue[name] = queue
			record.Queues = append(record.Queues, queue)
		}
	}
	for _, key := range byAge(m.groups) {
		g := m.groups[key]
		g.saved = g.figures()
		queue := byQueue[key.queue]
		if queue == nil {
			continue
		}
		entry := &jobpb.DurationGroup{Image: key.image, CpuMilli: key.cpu, Trend: g.trend.values(), Ratios: g.ratios.record()}
		if n := proto.Size(entry) + fieldOverhead; size+n <= maxRecordBytes {
			size += n
			queue.Groups = append(queue.Groups, entry)
		}
	}
	return record
}

// fieldOverhead bounds the bytes of the tags and lengths that enclose an entry.
const fieldOverhead = 8

// byAge returns the keys of the groups, those with the most recent sample first.
func byAge[K comparable](groups map[K]*group) []K {
	keys := slices.Collect(maps.Keys(groups))
	slices.SortFunc(keys, func(a, b K) int { return cmp.Compare(groups[b].lastSample, groups[a].lastSample) })
	return keys
}

func (h *histogram) record() *jobpb.Histogram {
	record := &jobpb.Histogram{}
	last := int64(0)
	h.forEach(func(value int64, weight float64) {
		rounded := uint32(math.Round(weightUnit * weight))
		if rounded == 0 {
			return
		}
		record.Steps = append(record.Steps, uint32(value-last))
		record.Weights = append(record.Weights, rounded)
		last = value
	})
	return record
}

// Merge adds the samples of a record. If it returns an error, the model is unchanged.
func (m *Model) Merge(record *jobpb.Durations) error {
	if err := validate(record); err != nil {
		return err
	}
	for _, r := range record.Queues {
		q := findOrAdd(m.queues, job.Queue(r.Queue), maxQueues, m.samples)
		if q == nil {
			continue
		}
		q.merge(r.Trend, r.Ratios)
		for _, entry := range r.Groups {
			key := groupKey{job.Queue(r.Queue), entry.Image, entry.CpuMilli}
			if g := findOrAdd(m.groups, key, maxGroups, m.samples); g != nil {
				g.merge(entry.Trend, entry.Ratios)
			}
		}
	}
	return nil
}

func (g *group) merge(trend []float32, ratios *jobpb.Histogram) {
	g.trend.merge(trend)
	g.ratios.merge(ratios)
	g.saved, g.curve = g.figures(), nil
}

func validate(record *jobpb.Durations) error {
	for _, q := range record.Queues {
		if err := validateGroup(q.Trend, q.Ratios); err != nil {
			return fmt.Errorf("queue %q: %w", q.Queue, err)
		}
		for _, g := range q.Groups {
			if err := validateGroup(g.Trend, g.Ratios); err != nil {
				return fmt.Errorf("queue %q, image %q: %w", q.Queue, g.Image, err)
			}
		}
	}
	return nil
}

func validateGroup(trend []float32, ratios *jobpb.Histogram) error {
	if !validTrend(trend) {
		return errTrend
	}
	return validateHistogram(ratios)
}

// maxRecordedWeight bounds the weight of a value. The decay keeps the total below
// halfLifeSamples / ln 2 samples.
const maxRecordedWeight = 2 * halfLifeSamples * weightUnit

func validateHistogram(h *jobpb.Histogram) error {
	if h == nil || len(h.Steps) != len(h.Weights) {
		return errHistogram
	}
	value := int64(0)
	for i, step := range h.Steps {
		if value += int64(step); step == 0 || value > maxValue || h.Weights[i] > maxRecordedWeight {
			return errHistogram
		}
	}
	return nil
}

// merge adds the values of a record and counts them as samples.
func (h *histogram) merge(record *jobpb.Histogram) {
	value, total := int64(0), 0.0
	for i, step := range record.Steps {
		value += int64(step)
		share := float64(record.Weights[i]) / weightUnit
		h.add(value, share)
		total += share
	}
	h.samples += uint64(total)
}
