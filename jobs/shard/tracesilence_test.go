package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/worker"
)

func durationField(t *testing.T, e eventlog.Event, name string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(fmt.Sprint(e.Fields[name]))
	assert.NilError(t, err, "%s of %v", name, e)
	return d
}

// Guards against one silent worker and many silent workers that look alike in the log.
func TestSilenceTellsHowManyWorkers(t *testing.T) {
	for _, want := range []int{1, 4} {
		t.Run(fmt.Sprint(want), func(t *testing.T) {
			withEvents(t, 5, func(r *eventRig) {
				r.startHour()
				running := r.runningOn()
				r.fleet.SetPartitioned(running, true)
				cut := 1
				for _, info := range r.workerInfos {
					if info.ID != running && cut < want {
						r.fleet.SetPartitioned(info.ID, true)
						cut++
					}
				}
				time.Sleep(2 * testLease)
				unreachable := r.events(eventlog.WorkerUnreachable)
				silent := len(unreachable)
				assert.Equal(t, silent, want)
				removed := r.only(eventlog.RunRemoved)
				wantFields(t, removed, map[string]any{"reason": leaseExpired, "silent_workers": silent, "workers": 5})
				wantFields(t, r.only(eventlog.WorkerLeasePassed), map[string]any{"silent_workers": silent, "workers": 5})
				wantFields(t, unreachable[silent-1], map[string]any{"silent_workers": silent, "workers": 5})
				assert.Assert(t, durationField(t, removed, "reply_age") > testLease/2)
				assert.Assert(t, durationField(t, removed, "status_age") >= durationField(t, removed, "reply_age"))
			})
		})
	}
}

// runningOn returns the worker that runs the only task.
func (r *eventRig) runningOn() worker.ID {
	started := r.events(eventlog.TasksStarted)[0].Fields["tasks"].(string)
	return worker.ID(started[len("0/1@"):])
}

// Guards against an owner that handles a missing reply late and whose line does not show it.
func TestLateHandlingOfSilenceIsRecorded(t *testing.T) {
	for _, late := range []time.Duration{0, 2 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			withEvents(t, 1, func(r *eventRig) {
				o := r.startHour()
				r.fleet.SetPartitioned("w0", true)
				time.Sleep(holdTimeout / 2) // No hold has reached its time limit yet.
				o.loop.Post(func() { time.Sleep(late) })
				time.Sleep(holdWait + holdTimeout + late)
				e := r.only(eventlog.WorkerUnreachable)
				excess := durationField(t, e, "took") - durationField(t, e, "limit")
				assert.Assert(t, excess >= 0 && excess <= late, "%v", e)
				assert.Assert(t, late == 0 || excess > late/4, "%v", e)
			})
		})
	}
}

// Guards against a worker that is taken for ended or restarted, while the log does not show that
// it had replied just before.
func TestGoneAndRestartedWorkersTellTheirLastReply(t *testing.T) {
	withEvents(t, 2, func(r *eventRig) {
		o := r.startReady()
		restarted := r.workerInfos[1]
		restarted.StartedUnixMs = 9
		r.callOnLoop(func() { o.removeWorker(o.workers["w0"], "replaced") })
		r.setRegistryEntry(o, 1, restarted)
		gone, reborn := r.only(eventlog.WorkerGone), r.events(eventlog.WorkerRestarted)[0]
		wantFields(t, gone, map[string]any{"worker": "w0", "born": 1, "reason": "replaced", "registered": true, "failed_holds": 0, "silent_workers": 0, "workers": 2})
		wantFields(t, reborn, map[string]any{"worker": "w1", "seen_in": seenInRegistry, "silent_workers": 0})
		assert.Assert(t, durationField(t, gone, "reply_age") < 3*time.Second)
		assert.Assert(t, durationField(t, reborn, "reply_age") < 3*time.Second)
	})
}
