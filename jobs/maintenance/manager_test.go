package maintenance

import (
	"context"
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

const upkeepTime = 2 * time.Second

// simulatedVMs is a fleet of idle VMs that carries out upkeeps.
type simulatedVMs struct {
	mu       sync.Mutex
	machines []Machine
	upkeeps  map[string]int
	away     int
	mostAway int
}

func newVMs(n int) *simulatedVMs {
	f := &simulatedVMs{upkeeps: map[string]int{}}
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

func (f *simulatedVMs) Upkeep(_ context.Context, name string, _ int64, _ uint64) error {
	time.Sleep(20 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.machines {
		if f.machines[i].Name != name || f.machines[i].State != Up {
			continue
		}
		f.machines[i].State = InUpkeep
		f.upkeeps[name]++
		f.away++
		f.mostAway = max(f.mostAway, f.away)
		time.AfterFunc(upkeepTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.machines[i].State = Up
			f.away--
		})
		return nil
	}
	return ErrBusy
}

// Report implements [Owners]: nothing runs, and what is to be vacated is.
func (f *simulatedVMs) Report(_ context.Context, _ string, orders PoolOrders) (Demand, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Demand{Workers: map[worker.ID]Use{}}
	for _, v := range f.machines {
		d.Workers[v.Worker] = Use{}
	}
	for _, id := range orders.Vacate {
		d.Workers[id] = Use{Vacated: true}
	}
	return d, nil
}

// Guards against more VMs of a wave away than its cap around a hand-over, after
// which the next owner does not know of orders that were carried out just before;
// and, where the hand-over is planned, against VMs that are serviced twice.
func TestHandOverKeepsCapOfWave(t *testing.T) {
	for _, planned := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			fleet, store, l := newVMs(24), &rowstest.Store{Latency: 4 * time.Millisecond}, loop.New()
			go l.Run(ctx)
			began, key := time.Now(), rows.Key{Table: "owner", Name: "fleet"}
			wave := Wave{Number: 1, Period: 60 * time.Second, Cap: 4}
			for _, v := range fleet.machines {
				wave.Machines = append(wave.Machines, v.Name)
			}
			for turn := range 6 {
				store.Put(rows.Row{Key: key})
				m, err := New(Options{
					Fence: uint64(turn + 1), Loop: l, Clock: func() time.Duration { return time.Since(began) + time.Second }, Wall: time.Now,
					Orders: fleet, Owners: fleet, Store: store, Recorder: eventlog.Discard, HasRight: func() bool { return true },
					OwnerKey: key, StatusRow: func(int64, bool) rows.Row { return rows.Row{Key: rows.Key{Table: "status", Name: "wave"}} },
					MoveTime: time.Second, UpkeepTime: upkeepTime,
				})
				assert.NilError(t, err)
				// The fence is the version of the owner's row.
				page, err := store.Read(ctx, key.Table, key.Part, key.Name)
				assert.NilError(t, err)
				m.o.Fence = page.Rows[0].Version
				l.Call(ctx, func() {
					m.SetPools([]string{"a"}, "")
					m.SetWaves([]Wave{wave})
					m.Start()
				})
				time.Sleep(1700 * time.Millisecond)
				if planned {
					l.Call(ctx, m.Close)
					time.Sleep(300 * time.Millisecond)
				}
				l.Call(ctx, m.Stop)
			}
			time.Sleep(5 * time.Second)
			assert.Equal(t, fleet.mostAway, wave.Cap)
			for name, n := range fleet.upkeeps {
				assert.Assert(t, !planned || n == 1, "%s was serviced %d times", name, n)
			}
		})
	}
}
