package admission

import "time"

// mean is an exponentially weighted mean of service times. Zero means unknown.
type mean struct{ value time.Duration }

func (m *mean) observe(d time.Duration, smoothing float64) {
	if m.value == 0 {
		m.value = d
		return
	}
	m.value += time.Duration(smoothing * float64(d-m.value))
}

// wait returns the expected time until the request with the given number of
// others before it starts, when all slots are busy: one slot becomes free per
// mean service time divided by the number of slots.
func wait(before, slots int, service time.Duration) time.Duration {
	return time.Duration(before+1) * service / time.Duration(max(slots, 1))
}
