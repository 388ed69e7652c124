package maintenance

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
)

// progress returns the stored progress of the wave.
func (s *fleetOwners) progress() *jobpb.WaveProgress {
	key := progressKey(s.wave.Number)
	page, err := s.store.Read(context.Background(), key.Table, key.Part, key.Name)
	assert.NilError(s.t, err)
	record := &jobpb.WaveProgress{}
	for _, row := range page.Rows {
		message, err := rows.Unpack(row.Value)
		assert.NilError(s.t, err)
		assert.NilError(s.t, proto.Unmarshal(message, record))
	}
	return record
}

// putProgress stores the progress that a former owner has left.
func (s *fleetOwners) putProgress(record *jobpb.WaveProgress) {
	value, err := proto.Marshal(record)
	assert.NilError(s.t, err)
	s.store.Put(rows.Row{Key: progressKey(s.wave.Number), Value: value})
}

// Guards against an order that is sent before the stored progress names its VM, against a store
// call for each VM, and against a tick of delay for an order.
func TestOrdersOfATickAreStoredByOneCallBeforeTheyAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet := newFencedVMs(24, 24)
		owners := newFleetOwners(ctx, t, fleet, time.Minute)
		var mu sync.Mutex
		var unnamed []string
		calls := map[int]int{}
		fleet.choose = func(string) orderFault {
			calls[owners.store.Commits()]++
			return orderFault{lost: true} // No answer changes the stored progress.
		}
		fleet.arrived = func(name string) {
			if !slices.Contains(owners.progress().Ordered, name) {
				mu.Lock()
				defer mu.Unlock()
				unnamed = append(unnamed, name)
			}
		}
		m := owners.start(ctx)
		var firstSeen time.Time
		for range 1000 {
			time.Sleep(time.Millisecond)
			if firstSeen.IsZero() && len(owners.progress().Ordered) > 0 {
				firstSeen = time.Now()
			}
			if fleet.ordered() == 24 {
				break
			}
		}
		assert.Assert(t, time.Since(firstSeen) < tickInterval/2)
		owners.loop.Call(ctx, m.Stop)
		time.Sleep(2 * time.Second)
		assert.Equal(t, fleet.ordered(), 24)
		assert.Equal(t, len(unnamed), 0, "%v", unnamed)
		assert.Equal(t, len(calls), 1, "orders by number of store calls: %v", calls)
	})
}

// Guards against a wave that is held up by a VM with an order of unknown outcome that is down for
// long, and against a VM that is not counted while it can still be maintained.
func TestOrderedVMThatRemainsDownDoesNotHoldUpWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet := newFencedVMs(3, 1)
		owners := newFleetOwners(ctx, t, fleet, time.Minute)
		owners.putProgress(&jobpb.WaveProgress{StartedUnixMs: time.Now().UnixMilli(), Ordered: []string{"vm-1"}})
		fleet.setState("vm-1", Down)
		m := owners.start(ctx)
		time.Sleep(maxOrderDelay - time.Second)
		assert.Equal(t, fleet.maintained(), 0)
		time.Sleep(12 * time.Second)
		assert.Equal(t, fleet.maintained(), 2)
		fleet.mu.Lock()
		fleet.setState("vm-1", Up)
		fleet.mu.Unlock()
		owners.awaitCompleted(ctx, fleet, 20*time.Second)
		owners.loop.Call(ctx, m.Stop)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(fleet.broken), 0, "%v", fleet.broken)
	})
}

// Guards against a wave that is held up by a VM with an order of unknown outcome that has left
// the platform's list.
func TestOrderedVMThatLeftTheListDoesNotHoldUpWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet := newFencedVMs(3, 1)
		owners := newFleetOwners(ctx, t, fleet, time.Minute)
		owners.putProgress(&jobpb.WaveProgress{StartedUnixMs: time.Now().UnixMilli(), Ordered: []string{"vm-1"}})
		fleet.machines = slices.Delete(fleet.machines, 1, 2)
		m := owners.start(ctx)
		owners.awaitCompleted(ctx, fleet, 15*time.Second)
		owners.loop.Call(ctx, m.Stop)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(fleet.broken), 0, "%v", fleet.broken)
	})
}

// Guards against progress of a former build, which names no ordered VMs, that is not read, and
// against maintenance within the time in which the orders of a former owner usually arrive.
func TestProgressWithoutOrderedVMsIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet := newFencedVMs(3, 3)
		owners := newFleetOwners(ctx, t, fleet, time.Minute)
		owners.putProgress(&jobpb.WaveProgress{StartedUnixMs: time.Now().UnixMilli(), Done: []string{"vm-0"}})
		fleet.begun["vm-0"] = 1
		m := owners.start(ctx)
		time.Sleep(formerOrderWindow)
		assert.Equal(t, fleet.ordered(), 0)
		owners.awaitCompleted(ctx, fleet, 15*time.Second)
		owners.loop.Call(ctx, m.Stop)
		assert.Equal(t, fleet.orders["vm-0"], 0)
	})
}

// Guards against maintenance that begins while the progress of the wave cannot be stored, so that
// a next owner would not know of it.
func TestNoMaintenanceWhileTheProgressIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet := newFencedVMs(3, 3)
		owners := newFleetOwners(ctx, t, fleet, time.Minute)
		owners.store.SetFault(func(rows.Tx) rowstest.Fault { return rowstest.RequestLost })
		m := owners.start(ctx)
		time.Sleep(10 * time.Second)
		assert.Equal(t, fleet.ordered(), 0)
		owners.store.SetFault(nil)
		owners.awaitCompleted(ctx, fleet, 15*time.Second)
		owners.loop.Call(ctx, m.Stop)
	})
}

// Guards against an order that is sent by an owner that was drained or stopped while it stored
// the progress: the next owner may have read the progress and ordered the VM.
func TestNoOrderAfterDrainOrStop(t *testing.T) {
	for _, end := range []func(*Manager){(*Manager).Drain, (*Manager).Stop} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			fleet := newFencedVMs(12, 4)
			owners := newFleetOwners(ctx, t, fleet, time.Minute)
			owners.store.Latency = 50 * time.Millisecond
			m := owners.start(ctx)
			ended := false
			for range 2000 {
				time.Sleep(time.Millisecond)
				owners.loop.Call(ctx, func() {
					if w := m.waves[1]; !ended && w.saving && len(w.ordered) > 0 {
						ended = true
						end(m)
					}
				})
			}
			drained := false
			owners.loop.Call(ctx, func() { drained = m.Drained(); m.Stop() })
			assert.Assert(t, ended && drained)
			assert.Equal(t, len(owners.progress().Ordered), 4)
			assert.Equal(t, fleet.ordered(), 0)
		})
	}
}

// Guards against a store call without a reply that is carried out after a later one and undoes
// it, so that the next owner does not know of an order, and against an owner that can no longer
// store its progress after a lost reply.
func TestDelayedStoreCallDoesNotUndoALaterOne(t *testing.T) {
	for _, fault := range []rowstest.Fault{rowstest.Delayed, rowstest.ResponseLost} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			fleet := newFencedVMs(3, 1)
			owners := newFleetOwners(ctx, t, fleet, time.Minute)
			calls := 0
			owners.store.SetFault(func(rows.Tx) rowstest.Fault {
				calls++
				if calls == 1 {
					return fault
				}
				return rowstest.NoFault
			})
			fleet.choose = func(string) orderFault { return orderFault{lost: true} }
			m := owners.start(ctx)
			time.Sleep(owners.store.Delay + 5*time.Second)
			assert.Equal(t, len(owners.progress().Ordered), 1)
			fleet.mu.Lock()
			fleet.choose = nil
			fleet.mu.Unlock()
			owners.awaitCompleted(ctx, fleet, 30*time.Second)
			owners.loop.Call(ctx, m.Stop)
		})
	}
}

// Guards against an order without an answer that is forgotten when its repetition is refused.
func TestRefusalOfRepeatedOrderLeavesTheFirstOpen(t *testing.T) {
	for delay := 6 * time.Second; delay <= 12*time.Second; delay += 500 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRefusedRepetition(t, delay) })
		})
	}
}

// playRefusedRepetition takes the VM of the first order down for a while, so that repetitions are
// refused. The VM is in use until the first order is carried out.
func playRefusedRepetition(t *testing.T, delay time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fleet := newFencedVMs(10, 1)
	owners := newFleetOwners(ctx, t, fleet, 5*time.Minute)
	var late string
	var lateUntil time.Time
	fleet.choose = func(name string) orderFault {
		if late != "" {
			return orderFault{}
		}
		late, lateUntil = name, time.Now().Add(delay)
		fleet.setState(name, Down)
		time.AfterFunc(4*time.Second, func() {
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			fleet.setState(name, Up)
		})
		return orderFault{delay: delay}
	}
	fleet.inUse = func(name string) bool { return name == late && time.Now().Before(lateUntil) }
	m := owners.start(ctx)
	owners.awaitCompleted(ctx, fleet, 2*time.Minute)
	owners.loop.Call(ctx, m.Stop)
	time.Sleep(5 * time.Second)
	assert.Equal(t, fleet.lateBegun, 1)
	assert.Assert(t, fleet.orders[late] > 1)
	assert.Equal(t, len(fleet.broken), 0, "%v", fleet.broken)
}

// Guards against the repetition of an order while other VMs take all places of the wave's cap,
// after the VM was down for long.
func TestRepeatedOrderWaitsForAFreePlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet := newFencedVMs(3, 1)
		owners := newFleetOwners(ctx, t, fleet, time.Minute)
		owners.putProgress(&jobpb.WaveProgress{StartedUnixMs: time.Now().UnixMilli(), Ordered: []string{"vm-1"}})
		fleet.setState("vm-1", Down)
		m := owners.start(ctx)
		up := false
		for end := time.Now().Add(time.Minute); !up && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
			fleet.mu.Lock()
			if up = fleet.away == 1; up {
				fleet.setState("vm-1", Up)
			}
			fleet.mu.Unlock()
		}
		assert.Assert(t, up)
		owners.awaitCompleted(ctx, fleet, 30*time.Second)
		owners.loop.Call(ctx, m.Stop)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(fleet.broken), 0, "%v", fleet.broken)
	})
}

// Guards against progress of a large wave with many ordered VMs that takes more than a row of the
// store may have.
func TestOrderedVMsOfLargeWaveAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet := newFencedVMs(1, 1)
		owners := newFleetOwners(ctx, t, fleet, time.Minute)
		m := owners.start(ctx)
		owners.loop.Call(ctx, m.Stop)
		w, restored := newWaveProgress(Wave{Number: 2}), newWaveProgress(Wave{Number: 2})
		w.loaded, w.unsaved = true, true
		for n := range 4100 {
			if name := fmt.Sprintf("vm-of-a-large-fleet-%04d", n); n%2 == 0 {
				w.ordered[name] = &openOrder{}
			} else {
				w.done[name] = true
			}
		}
		owners.loop.Call(ctx, func() { m.stopped = false; m.saveWave(w) })
		time.Sleep(time.Second)
		owners.loop.Call(ctx, func() { m.loadWave(restored) })
		time.Sleep(time.Second)
		owners.loop.Call(ctx, m.Stop)
		assert.Equal(t, len(restored.done), 2050)
		assert.Equal(t, len(restored.ordered), 2050)
	})
}
