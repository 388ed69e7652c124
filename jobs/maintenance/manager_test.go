package maintenance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/jobs/worker"
)

const maintenanceDuration = 2 * time.Second

// simulatedVMs simulates idle VMs that can be serviced.
type simulatedVMs struct {
	mu       sync.Mutex
	machines []Machine
	services map[string]int
	away     int
	maxAway  int
}

func newSimulatedVMs(n int) *simulatedVMs {
	f := &simulatedVMs{services: map[string]int{}}
	for i := range n {
		f.machines = append(f.machines, Machine{
			Name: fmt.Sprint("vm-", i), Pool: "a", State: Up, Capacity: vmCapacity, Worker: worker.ID(fmt.Sprint("w-", i)),
		})
	}
	return f
}

func (f *simulatedVMs) List(context.Context) ([]Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Machine(nil), f.machines...), nil
}

func (f *simulatedVMs) Move(context.Context, string, string, uint64) error { return ErrInvalid }

func (f *simulatedVMs) Maintain(_ context.Context, name string, _ int64, _ uint64) error {
	time.Sleep(20 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.machines {
		if f.machines[i].Name != name || f.machines[i].State != Up {
			continue
		}
		f.machines[i].State = InMaintenance
		f.services[name]++
		f.away++
		f.maxAway = max(f.maxAway, f.away)
		time.AfterFunc(maintenanceDuration, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.machines[i].State = Up
			f.away--
		})
		return nil
	}
	return ErrBusy
}

// RequestReport implements [PoolOwners]. No tasks run, and workers are vacated at once.
func (f *simulatedVMs) RequestReport(_ context.Context, _ string, instructions PoolInstructions) (Demand, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Demand{Workers: map[worker.ID]WorkerUsage{}}
	for _, v := range f.machines {
		d.Workers[v.Worker] = WorkerUsage{}
	}
	for _, id := range instructions.Vacate {
		d.Workers[id] = WorkerUsage{Vacated: true}
	}
	return d, nil
}

// testOptions returns options of a manager, without a fence.
func testOptions(machines MachineService, owners PoolOwners, store *rowstest.Store, l *loop.Loop) Options {
	testStart := time.Now()
	return Options{
		Loop: l, Clock: func() time.Duration { return time.Since(testStart) + time.Second }, WallClock: time.Now,
		MachineService: machines, PoolOwners: owners, Store: store, Recorder: eventlog.Discard, OwnsShard: func() bool { return true },
		OwnerKey: rows.Key{Table: "owner", Name: "fleet"},
		StatusRow: func(int64, bool) rows.Row {
			return rows.Row{Key: rows.Key{Table: "status", Name: "wave"}, Value: []byte("{}")}
		},
		MoveDuration: time.Second, MaintenanceDuration: maintenanceDuration,
	}
}

// Guards against more VMs in maintenance than the wave's cap around a change of
// owner, when the next owner does not know of orders that were carried out just
// before; and, if the hand-over is planned, against VMs that are serviced twice.
func TestHandOverKeepsCapOfWave(t *testing.T) {
	for _, planned := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			fleet, store, l := newSimulatedVMs(24), &rowstest.Store{Latency: 4 * time.Millisecond}, loop.New()
			go l.Run(ctx)
			o := testOptions(fleet, fleet, store, l)
			wave := Wave{Number: 1, Period: 60 * time.Second, Cap: 4}
			for _, v := range fleet.machines {
				wave.Machines = append(wave.Machines, v.Name)
			}
			for range 6 {
				store.Put(rows.Row{Key: o.OwnerKey})
				// The fence is the version of the owner's row.
				page, err := store.Read(ctx, o.OwnerKey.Table, o.OwnerKey.Part, o.OwnerKey.Name)
				assert.NilError(t, err)
				o.Fence = page.Rows[0].Version
				m, err := New(o)
				assert.NilError(t, err)
				l.Call(ctx, func() {
					m.SetPools([]string{"a"}, "")
					m.SetWaves([]Wave{wave})
					m.Start()
				})
				time.Sleep(1700 * time.Millisecond)
				if planned {
					l.Call(ctx, m.Drain)
					time.Sleep(300 * time.Millisecond)
				}
				l.Call(ctx, m.Stop)
			}
			time.Sleep(5 * time.Second)
			assert.Equal(t, fleet.maxAway, wave.Cap)
			for name, n := range fleet.services {
				assert.Assert(t, !planned || n == 1, "%s was serviced %d times", name, n)
			}
		})
	}
}

var errNoReply = errors.New("no reply from the simulated platform")

// contestedVMs are simulated VMs whose first order gets no reply and is not carried out.
// Their pool's owner then uses them until inUse is reset.
type contestedVMs struct {
	*simulatedVMs
	orders      int
	inUse       bool
	ordersInUse int
}

func (f *contestedVMs) Maintain(ctx context.Context, name string, wave int64, fence uint64) error {
	f.mu.Lock()
	f.orders++
	if f.inUse {
		f.ordersInUse++
	}
	if f.orders == 1 {
		f.inUse = true
		f.mu.Unlock()
		return errNoReply
	}
	f.mu.Unlock()
	return f.simulatedVMs.Maintain(ctx, name, wave, fence)
}

func (f *contestedVMs) RequestReport(ctx context.Context, pool string, instructions PoolInstructions) (Demand, error) {
	f.mu.Lock()
	inUse := f.inUse
	f.mu.Unlock()
	if inUse {
		instructions.Vacate = nil
	}
	return f.simulatedVMs.RequestReport(ctx, pool, instructions)
}

// Guards against an order for a VM that is repeated although the VM has got tasks since.
func TestOrderIsRepeatedOnlyWhileVacated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fleet, store, l := &contestedVMs{simulatedVMs: newSimulatedVMs(1)}, &rowstest.Store{Latency: 4 * time.Millisecond}, loop.New()
		go l.Run(ctx)
		o := testOptions(fleet, fleet, store, l)
		store.Put(rows.Row{Key: o.OwnerKey}) // Orders are sent by the owner only.
		o.Fence = 1
		m, err := New(o)
		assert.NilError(t, err)
		l.Call(ctx, func() {
			m.SetPools([]string{"a"}, "")
			m.SetWaves([]Wave{{Number: 1, Period: 60 * time.Second, Cap: 1, Machines: []string{"vm-0"}}})
			m.Start()
		})
		time.Sleep(4 * time.Second)
		fleet.mu.Lock()
		orders, ordersInUse := fleet.orders, fleet.ordersInUse
		fleet.inUse = false
		fleet.mu.Unlock()
		time.Sleep(2 * time.Second)
		l.Call(ctx, m.Stop)
		time.Sleep(5 * time.Second)
		assert.Assert(t, orders > 0)
		assert.Equal(t, ordersInUse, 0)
		assert.Equal(t, fleet.services["vm-0"], 1)
	})
}

// Guards against a wave of a large fleet whose progress takes more than a row of the store may
// have, so that it is neither stored nor shown as completed.
func TestProgressOfLargeWaveIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fleet, store, l := newSimulatedVMs(1), &rowstest.Store{Latency: 4 * time.Millisecond}, loop.New()
		go l.Run(ctx)
		o := testOptions(fleet, fleet, store, l)
		store.Put(rows.Row{Key: o.OwnerKey})
		page, err := store.Read(ctx, o.OwnerKey.Table, o.OwnerKey.Part, o.OwnerKey.Name)
		assert.NilError(t, err)
		o.Fence = page.Rows[0].Version
		m, err := New(o)
		assert.NilError(t, err)
		w := &waveProgress{Wave: Wave{Number: 1}, loaded: true, unsaved: true, done: map[string]bool{}}
		for n := range 4100 {
			w.done[fmt.Sprintf("vm-of-a-large-fleet-%04d", n)] = true
		}
		restored := &waveProgress{Wave: w.Wave, done: map[string]bool{}}
		l.Call(ctx, func() { m.saveWave(w) })
		time.Sleep(time.Second)
		l.Call(ctx, func() { m.loadWave(restored) })
		time.Sleep(time.Second)
		l.Call(ctx, m.Stop)
		assert.Equal(t, len(restored.done), 4100)
	})
}
