package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
)

// answer runs n requests of 10 ms one after another; backend servers in bad
// fail at once with the result. It counts the attempts on them.
func answer(t *testing.T, r *Router, n int, bad map[fleet.VMID]bool, result Result) (onBad int) {
	for range n {
		h := acquire(t, r, Request{})
		if bad[h.Target().VM] {
			onBad++
			h.Done(result)
			continue
		}
		time.Sleep(10 * time.Millisecond)
		h.Done(ResultAnswered)
	}
	return onBad
}

// Guards against a backend server that fails fast, and is therefore always
// idle, attracting the traffic.
func TestFastFailingBackendServerDoesNotAttractTraffic(t *testing.T) {
	for _, result := range []Result{ResultNotWritten, ResultServerError, ResultBroken} {
		synctest.Test(t, func(t *testing.T) {
			var events []Event
			r := newRouter(snapshot(9), Options{Notify: func(e Event) { events = append(events, e) }})
			onBad := answer(t, r, 1000, map[fleet.VMID]bool{"vm-03": true}, result)
			assert.Assert(t, onBad > 0 && onBad < 20, "result %d: %d of 1000 requests", result, onBad)
			assert.Equal(t, r.InFlight("vm-03", 0), 0)
			assert.Assert(t, len(events) > 0)
			for _, e := range events {
				assert.Assert(t, e.Kind == EventEjected && e.VM == "vm-03", "%+v", e)
			}
		})
	}
}

// Guards against callers with very short deadlines that eject a healthy backend
// server, and against a hung one that only such callers use.
func TestExpiredRequestsCountOnlyAfterUsualTime(t *testing.T) {
	for held, ejects := range map[time.Duration]bool{time.Millisecond: false, time.Second: true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRouter(snapshot(9), Options{})
			answer(t, r, 100, nil, ResultAnswered)
			for range 3000 {
				h := acquire(t, r, Request{})
				if h.Target().VM == "vm-03" {
					time.Sleep(held)
					h.Done(ResultExpired)
					continue
				}
				time.Sleep(10 * time.Millisecond)
				h.Done(ResultAnswered)
			}
			assert.Equal(t, r.backends["vm-03"].health.ejections > 0, ejects, "held for %s", held)
		})
	}
}

// Guards against ejecting more than half of a pool, and against ejecting
// anything because all fail alike.
func TestEjectionIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := map[fleet.VMID]bool{}
		s := snapshot(9)
		for id := range s.VMs {
			all[id] = true
		}
		r := newRouter(s, Options{})
		answer(t, r, 500, all, ResultNotWritten)
		assert.Equal(t, ejected(r), 4)
		r = newRouter(s, Options{})
		answer(t, r, 500, all, ResultServerError)
		assert.Equal(t, ejected(r), 0)
		r = newRouter(snapshot(1), Options{})
		answer(t, r, 50, all, ResultNotWritten)
		assert.Equal(t, ejected(r), 0)
	})
}

func ejected(r *Router) int { return r.Status()[0].Ejected }

// Guards against a full load on a backend server that has just come back, and
// against one that never comes back.
func TestGradualReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := snapshot(2)
		for id, vm := range s.VMs {
			vm.Slots = 4
			s.VMs[id] = vm
		}
		r := newRouter(s, Options{})
		bad := map[fleet.VMID]bool{"vm-00": true}
		answer(t, r, 250, bad, ResultNotWritten) // 2.5 s: the third refusal follows the suspicion of 2 s.
		assert.Equal(t, ejected(r), 1)
		time.Sleep(2 * time.Second)
		for want := 1; want <= 4; want++ {
			var good, back []Reservation
			for range 4 + want {
				if h := acquire(t, r, Request{}); bad[h.Target().VM] {
					back = append(back, h)
				} else {
					good = append(good, h)
				}
			}
			assert.Equal(t, len(back), want)
			back[0].Done(ResultAnswered)
			for _, h := range append(good, back[1:]...) {
				h.(*reservation).cancel()
			}
		}
	})
}

// Guards against a second ejection that is no longer than the first one.
func TestRepeatedEjectionDoubles(t *testing.T) {
	o := EjectionOptions{}.withDefaults()
	h, now := health{}, time.Now()
	for _, want := range []time.Duration{2, 4, 8, 16, 32, 60, 60} {
		h.eject(now, o)
		assert.Equal(t, h.ejectedUntil.Sub(now), want*time.Second)
		now = h.ejectedUntil
	}
	h.eject(now.Add(61*time.Second), o)
	assert.Equal(t, h.ejections, 1)
}

// Guards against sending with a view that is not valid, and against blaming a
// backend server for requests that this process itself did not send.
func TestInvalidView(t *testing.T) {
	valid := true
	r := newRouter(snapshot(2), Options{})
	r.SetValidity(func() bool { return valid })
	for range 10 {
		valid = true
		h := acquire(t, r, Request{})
		valid = false
		assert.Assert(t, !h.Valid())
		_, err := r.Acquire(t.Context(), Request{Pool: testPool})
		assert.Equal(t, reason(err), ShedViewExpired)
		h.Done(ResultNotWritten)
	}
	assert.Equal(t, ejected(r), 0)
	assert.Equal(t, r.backends["vm-00"].health.samples, 0)
}
