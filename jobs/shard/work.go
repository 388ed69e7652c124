package shard

import (
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/scheduler"
)

// turn returns a job's place in the order of waiting jobs.
func (s *Shard) turn(js *jobState, now time.Duration) scheduler.SortKey {
	turn := scheduler.SortKey{Priority: s.queues[js.job.Queue].Priority, Sequence: js.sequence}
	if js.lasting {
		return turn // They hold little room for long, and each moment without them counts.
	}
	work := s.work(js)
	turn.Class, turn.CoreSeconds = work.ClassAt(now), work.CoreSeconds
	return turn
}

// work returns what is left of a job. It is computed again when a step completes.
func (s *Shard) work(js *jobState) scheduler.RemainingWork {
	if js.work.Objective == 0 || js.workOpen != js.open {
		js.work, js.workOpen = s.remaining(js), js.open
	}
	return js.work
}

func (s *Shard) durations(queue job.Queue) *scheduler.DurationPredictor {
	d := s.learned[queue]
	if d == nil {
		d = &scheduler.DurationPredictor{}
		s.learned[queue] = d
	}
	return d
}

const (
	defaultStretch   = 1.5
	defaultObjective = 500 * time.Millisecond
	// widestFactor is about how much longer the slowest task of a step runs than the mean.
	widestFactor = 1.15
	coreMilli    = 1000
)

// remaining computes the work that is left of a job's first open occurrence.
func (s *Shard) remaining(js *jobState) scheduler.RemainingWork {
	q := s.queues[js.job.Queue]
	if q.Stretch == 0 {
		q.Stretch = defaultStretch
	}
	if q.Objective == 0 {
		q.Objective = defaultObjective
	}
	learned := s.durations(js.job.Queue)
	n := len(js.job.Steps)
	whole, left := make([]time.Duration, n), make([]time.Duration, n)
	w := scheduler.RemainingWork{Submitted: js.submitted}
	var longest time.Duration
	for i := range js.job.Steps {
		spec := &js.job.Steps[i]
		step := js.steps[js.firstOpen()*n+i]
		each := learned.Predict(spec.Estimate)
		whole[i] = time.Duration(float64(each) * widestFactor)
		if !step.complete() {
			left[i] = whole[i]
			w.CoreSeconds += each.Seconds() * float64(len(step.tasks)-step.done) * float64(spec.Resources.CPU) / coreMilli
		}
		for _, before := range spec.After {
			whole[i] = max(whole[i], whole[before]+time.Duration(float64(each)*widestFactor))
			if left[i] > 0 {
				left[i] = max(left[i], left[before]+time.Duration(float64(each)*widestFactor))
			} else {
				left[i] = max(left[i], left[before])
			}
		}
		longest, w.CriticalPath = max(longest, whole[i]), max(w.CriticalPath, left[i])
	}
	w.Objective = time.Duration(float64(longest)*q.Stretch) + q.Objective
	return w
}

// firstOpen returns the first occurrence with a step that is not complete.
func (js *jobState) firstOpen() int {
	n := len(js.job.Steps)
	for i, step := range js.steps {
		if !step.complete() {
			return i / n
		}
	}
	return 0
}

// observe learns from a task that ended as done.
func (s *Shard) observe(a *attempt) {
	if a == nil || a.task == nil || a.answered == 0 || a.task.step.spec.LongRunning || a.phase != running {
		return
	}
	s.durations(a.task.step.job.job.Queue).Observe(a.task.step.spec.Estimate, s.o.Clock()-a.began)
}

// arrival is the work of a job that came.
type arrival struct {
	at time.Duration
	r  job.Resources // Thousandths of a core, and MB, for one second.
}

// arrivalWindow is the time over which the rate of new work is measured.
const arrivalWindow = time.Second

// noteArrival adds a new job to the rate of new work.
func (s *Shard) noteArrival(js *jobState) {
	if js.lasting || js.job.Times > 0 {
		return
	}
	var r job.Resources
	learned := s.durations(js.job.Queue)
	for i := range js.job.Steps {
		spec := &js.job.Steps[i]
		load := learned.Predict(spec.Estimate).Seconds() * float64(spec.Count)
		r.CPU += int64(load * float64(spec.Resources.CPU))
		r.MemoryMB += int64(load * float64(spec.Resources.MemoryMB))
	}
	s.recent = append(s.recent, arrival{s.o.Clock(), r})
}

const (
	// rateWindow is the time over which a rise of the rate is measured.
	rateWindow = arrivalWindow / 2
	// lookAhead is about how long a VM takes to come from another pool.
	lookAhead = 2 * time.Second
	// risingJobs is the least number of jobs in a window from which a rise is believed.
	risingJobs = 4
	// maxRise bounds the prediction by a multiple of the present rate.
	maxRise = 2.5
)

// arriving returns the work that comes in a second, as the room that it would
// fill for one second. While the rate rises, it is that of some seconds later.
func (s *Shard) arriving() job.Resources {
	now := s.o.Clock()
	for len(s.recent) > 0 && now-s.recent[0].at > arrivalWindow {
		s.recent = s.recent[1:]
	}
	var before, after job.Resources
	jobs := 0
	for _, a := range s.recent {
		if now-a.at > rateWindow {
			before = before.Plus(a.r)
		} else {
			after = after.Plus(a.r)
			jobs++
		}
	}
	rate := before.Plus(after)
	if jobs < risingJobs || after.CPU <= before.CPU {
		return rate
	}
	perSecond := float64(time.Second) / float64(rateWindow)
	rise := perSecond * (1 + perSecond*lookAhead.Seconds()*float64(after.CPU-before.CPU)/float64(after.CPU))
	rise = min(rise, perSecond*maxRise)
	return job.Resources{CPU: int64(float64(after.CPU) * rise), MemoryMB: int64(float64(after.MemoryMB) * rise)}
}
