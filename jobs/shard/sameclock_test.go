package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker/workertest"
)

// Guards against a second run of a task whose end only one status lists: a status of the same millisecond, with the next end, overtakes it.
func TestStatusesOfSameClockOvertakeEachOther(t *testing.T) {
	const acked = 10
	ends := []time.Duration{300200 * time.Microsecond, 300600 * time.Microsecond} // After the start, in one millisecond.
	onFakeTime(t, func(r *rig) {
		client := newHeldCallsRig(r, ackRunDuration)
		r.fleet.Readings.Acknowledgements, r.fleet.Readings.MillisecondClocks = workertest.ForgetListed, true
		r.fleet.SetRunPlan(func(ref job.TaskRef, _ int) workertest.RunPlan {
			if ref.Job == testJobID(2) {
				return workertest.RunPlan{Duration: ends[ref.Index]}
			}
			return workertest.RunPlan{Duration: ackRunDuration}
		})
		r.workerInfos[0].Capacity = job.Resources{CPU: acked * 1000, MemoryMB: acked * 100}
		r.fleet.Add(r.workerInfos[0])
		o := r.startOwner()
		time.Sleep(time.Second)

		releaseHold, releaseStarts, releaseStatus := make(chan struct{}), make(chan struct{}), make(chan struct{})
		held := make(chan struct{})
		var isHeld, overtaken bool // overtaken: the next status is released by the test, and its reply is slow.
		client.setDelivery(func(order sentOrder) delivery {
			switch {
			case order.kind == holdOrder && order.hold.AckedUpTo >= acked && !isHeld:
				isHeld = true
				close(held)
				return delivery{release: releaseHold}
			case order.kind == startOrder && order.start.Task.Job == testJobID(2):
				return delivery{release: releaseStarts}
			case order.kind == holdOrder && overtaken:
				overtaken = false
				return delivery{release: releaseStatus, slow: 10 * time.Millisecond}
			}
			return delivery{}
		})
		assert.Equal(t, r.submit(o, simpleJob(1, acked)).Code, OK)
		awaitSignal(held)
		time.Sleep(ackBar + time.Second) // The worker gets tasks again.
		assert.Equal(t, r.submit(o, simpleJob(2, len(ends))).Code, OK)
		time.Sleep(startDelay)
		restarted := r.restartInFleet(0, r.workerInfos[0].Capacity)
		close(releaseHold)
		time.Sleep(time.Microsecond)
		close(releaseStarts)
		time.Sleep(10 * time.Millisecond)
		r.addWorkers(1)
		r.setRegistryEntry(o, 0, restarted)
		time.Sleep(280 * time.Millisecond)
		requestStatus := func() { o.callOnLoop(func() { o.requestStatus(o.workers["w0"]) }) }
		client.mu.Lock()
		overtaken = true
		client.mu.Unlock()
		requestStatus()
		time.Sleep(ends[0] - 290*time.Millisecond + 100*time.Microsecond)
		close(releaseStatus)
		time.Sleep(ends[1] - ends[0])
		requestStatus()
		r.awaitCompletion(o, 2)
	})
}
