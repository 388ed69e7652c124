package admission

import "time"

// deviations is the number of mean deviations above the mean that a request is
// given to end before its deadline.
const deviations = 2

// mean is an exponentially weighted mean of service times with the mean
// deviation from it. Zero means unknown.
type mean struct{ value, deviation time.Duration }

func (m *mean) observe(d time.Duration, smoothing float64) {
	if m.value == 0 {
		m.value = d
		return
	}
	off := d - m.value
	m.value += time.Duration(smoothing * float64(off))
	m.deviation += time.Duration(smoothing * float64(max(off, -off)-m.deviation))
}

// ample returns a service time that most requests stay below.
func (m *mean) ample() time.Duration { return m.value + deviations*m.deviation }

// wait returns the expected time until the request with the given number of
// others before it starts, when all slots are busy: one slot becomes free per
// mean service time divided by the number of slots.
func wait(before, slots int, service time.Duration) time.Duration {
	return time.Duration(before+1) * service / time.Duration(max(slots, 1))
}
