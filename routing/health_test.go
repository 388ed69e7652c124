package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/fleet"
)

// runRequests runs n requests of 10 ms one after another. The backend servers in
// bad fail at once with the given result. It returns the number of attempts on
// them.
func runRequests(t *testing.T, r *Router, n int, bad map[fleet.VMID]bool, result Result) (onBad int) {
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

// Guards against a backend server that attracts most requests because it fails
// fast and is therefore always idle.
func TestFastFailingBackendServerDoesNotAttractTraffic(t *testing.T) {
	for _, result := range []Result{ResultNotWritten, ResultServerError, ResultBroken} {
		synctest.Test(t, func(t *testing.T) {
			var events []Event
			r := newRouter(snapshot(9), Options{Notify: func(e Event) { events = append(events, e) }})
			onBad := runRequests(t, r, 1000, map[fleet.VMID]bool{"vm-03": true}, result)
			assert.Assert(t, onBad > 0 && onBad < 20, "result %d: %d of 1000 requests", result, onBad)
			assert.Equal(t, r.InFlight("vm-03", 0), 0)
			assert.Assert(t, len(events) > 0)
			for _, e := range events {
				assert.Assert(t, e.Kind == EventEjected && e.VM == "vm-03", "%+v", e)
			}
		})
	}
}

// Guards against the ejection of a healthy backend server because of callers with
// very short deadlines, and against a hung backend server that is never ejected
// because all its requests expire.
func TestExpiredRequestsCountOnlyAfterUsualTime(t *testing.T) {
	for held, ejects := range map[time.Duration]bool{time.Millisecond: false, time.Second: true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRouter(snapshot(9), Options{})
			runRequests(t, r, 100, nil, ResultAnswered)
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

// Guards against the ejection of more than half of a pool, and against any
// ejection when all backend servers fail at the same rate.
func TestEjectionIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := map[fleet.VMID]bool{}
		s := snapshot(9)
		for id := range s.VMs {
			all[id] = true
		}
		r := newRouter(s, Options{})
		runRequests(t, r, 500, all, ResultNotWritten)
		assert.Equal(t, ejected(r), 4)
		r = newRouter(s, Options{})
		runRequests(t, r, 500, all, ResultServerError)
		assert.Equal(t, ejected(r), 0)
		r = newRouter(snapshot(1), Options{})
		runRequests(t, r, 50, all, ResultNotWritten)
		assert.Equal(t, ejected(r), 0)
	})
}

func ejected(r *Router) int { return r.Status()[0].Ejected }

// Guards against full load on a backend server immediately after its ejection, and
// against a limit that never ends.
func TestGradualReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := snapshot(2)
		for id, vm := range s.VMs {
			vm.Slots = 4
			s.VMs[id] = vm
		}
		r := newRouter(s, Options{})
		bad := map[fleet.VMID]bool{"vm-00": true}
		runRequests(t, r, 250, bad, ResultNotWritten) // 2.5 s: the third refusal follows 2 s as a suspect.
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

// Guards against consecutive ejections that do not become longer, and against a
// long ejection after a healthy period.
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

// Guards against requests that are sent with a view that is no longer valid, and against counting
// requests that this process did not send as failures of a backend server.
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
		assert.Equal(t, shedReason(err), ShedViewExpired)
		h.Done(ResultNotWritten)
	}
	assert.Equal(t, ejected(r), 0)
	assert.Equal(t, r.backends["vm-00"].health.samples, 0)
}
