package admission

import "time"

// marginDeviations is the number of mean deviations that upperBound adds to the
// mean. A request is admitted only if that much time is left before its deadline.
const marginDeviations = 2

// durationEstimate is an exponentially weighted mean of service times with the
// mean deviation from it. A mean of 0 means that none was observed.
type durationEstimate struct{ mean, deviation time.Duration }

// observe adds a service time with the weight smoothing.
func (m *durationEstimate) observe(d time.Duration, smoothing float64) {
	if m.mean == 0 {
		m.mean = d
		return
	}
	difference := d - m.mean
	m.mean += time.Duration(smoothing * float64(difference))
	m.deviation += time.Duration(smoothing * float64(max(difference, -difference)-m.deviation))
}

// upperBound returns a service time that most requests stay below.
func (m *durationEstimate) upperBound() time.Duration { return m.mean + marginDeviations*m.deviation }

// expectedWait returns the expected time until a request starts that has the
// given number of requests ahead of it, when all slots are busy: one slot
// becomes free per mean service time divided by the number of slots.
func expectedWait(ahead, slots int, meanServiceTime time.Duration) time.Duration {
	return time.Duration(ahead+1) * meanServiceTime / time.Duration(max(slots, 1))
}
