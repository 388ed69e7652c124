package maintenance

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/rows/rowstest"
	"peridotcrank.dev/jobs/worker"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the random orders")
	seeds     = flag.Uint64("seeds", 12, "number of seeds of the random orders")
)

// orderFault is what happens to an order.
type orderFault struct {
	throttled bool
	lost      bool          // The order gets no answer and is not carried out.
	unheard   bool          // The order is carried out, but gets no answer.
	delay     time.Duration // The order gets no answer and is carried out this much later.
}

// fencedVMs simulates a platform that checks the fence of each order for each VM separately,
// maintains a VM once in a wave, and may answer or carry out orders late.
type fencedVMs struct {
	mu        sync.Mutex
	machines  []Machine
	cap       int
	fences    map[string]uint64
	begun     map[string]int // Begun maintenance by VM.
	away      int
	lateBegun int            // Maintenance begun by late orders.
	orders    map[string]int // Orders that arrived, by VM.
	broken    []string
	// choose decides the fault of an order; nil for none.
	choose func(name string) orderFault
	// arrived is called when an order arrives; nil for none.
	arrived func(name string)
	// inUse reports whether tasks run on a VM, so that it is not vacated; nil for never.
	inUse func(name string) bool
}

func newFencedVMs(n, limit int) *fencedVMs {
	return &fencedVMs{machines: newSimulatedVMs(n).machines, cap: limit, fences: map[string]uint64{}, begun: map[string]int{}, orders: map[string]int{}}
}

func (f *fencedVMs) names() (names []string) {
	for _, v := range f.machines {
		names = append(names, v.Name)
	}
	return names
}

func (f *fencedVMs) setState(name string, state MachineState) {
	for i := range f.machines {
		if f.machines[i].Name == name {
			f.machines[i].State = state
		}
	}
}

// maintained returns the number of VMs whose maintenance has begun.
func (f *fencedVMs) maintained() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.begun)
}

// ordered returns the number of VMs for which an order has arrived.
func (f *fencedVMs) ordered() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

func (f *fencedVMs) List(context.Context) ([]Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.machines), nil
}

func (f *fencedVMs) Move(context.Context, string, string, uint64) error { return ErrInvalid }

func (f *fencedVMs) Maintain(ctx context.Context, name string, _ int64, fence uint64) error {
	if f.arrived != nil {
		f.arrived(name)
	}
	time.Sleep(20 * time.Millisecond)
	f.mu.Lock()
	fault := orderFault{}
	if f.choose != nil {
		fault = f.choose(name)
	}
	f.orders[name]++
	f.mu.Unlock()
	switch {
	case fault.throttled:
		return ErrThrottled
	case fault.lost:
		<-ctx.Done()
		return errNoReply
	case fault.delay > 0:
		time.AfterFunc(fault.delay, func() { f.carryOut(name, fence, true) })
		<-ctx.Done()
		return errNoReply
	case fault.unheard:
		_ = f.carryOut(name, fence, false)
		<-ctx.Done()
		return errNoReply
	}
	return f.carryOut(name, fence, false)
}

// carryOut checks and carries out an order. Only an order that is carried out or already done
// raises the fence of its VM.
func (f *fencedVMs) carryOut(name string, fence uint64, late bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.machines, func(v Machine) bool { return v.Name == name })
	switch {
	case i < 0:
		return ErrInvalid
	case fence < f.fences[name]:
		return ErrFenced
	case f.begun[name] > 0:
		f.fences[name] = fence
		return nil
	case f.machines[i].State != Up:
		return ErrBusy
	}
	if f.away >= f.cap {
		f.broken = append(f.broken, fmt.Sprintf("the maintenance of %s begins while %d VMs of the wave are away (late: %v)", name, f.away, late))
	}
	if late {
		f.lateBegun++
	}
	f.fences[name], f.machines[i].State = fence, InMaintenance
	f.begun[name]++
	f.away++
	time.AfterFunc(maintenanceDuration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.machines[i].State, f.machines[i].Worker = Up, worker.ID(fmt.Sprintf("%s-next", f.machines[i].Worker))
		f.away--
	})
	return nil
}

// RequestReport implements [PoolOwners]. VMs that are not in use are vacated at once.
func (f *fencedVMs) RequestReport(_ context.Context, _ string, instructions PoolInstructions) (Demand, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Demand{Workers: map[worker.ID]WorkerUsage{}}
	for _, v := range f.machines {
		usage := WorkerUsage{Vacated: slices.Contains(instructions.Vacate, v.Worker)}
		if f.inUse != nil && f.inUse(v.Name) {
			usage = WorkerUsage{Tasks: 2}
		}
		d.Workers[v.Worker] = usage
	}
	return d, nil
}

// fleetOwners starts successive owners of the fleet's shard.
type fleetOwners struct {
	t     *testing.T
	loop  *loop.Loop
	store *rowstest.Store
	o     Options
	wave  Wave
}

func newFleetOwners(ctx context.Context, t *testing.T, fleet *fencedVMs, period time.Duration) *fleetOwners {
	owners := &fleetOwners{t: t, loop: loop.New(), store: &rowstest.Store{Latency: 4 * time.Millisecond}}
	go owners.loop.Run(ctx)
	owners.o = testOptions(fleet, fleet, owners.store, owners.loop)
	owners.wave = Wave{Number: 1, Period: period, Cap: fleet.cap, Machines: fleet.names()}
	owners.o.StatusRow = func(_ int64, completed bool) rows.Row {
		return rows.Row{Key: rows.Key{Table: "status", Name: "wave"}, Value: fmt.Appendf(nil, "completed: %v", completed)}
	}
	return owners
}

// start starts the next owner. Its fence is the version of the owner's row.
func (s *fleetOwners) start(ctx context.Context) *Manager {
	s.store.Put(rows.Row{Key: s.o.OwnerKey})
	page, err := s.store.Read(ctx, s.o.OwnerKey.Table, s.o.OwnerKey.Part, s.o.OwnerKey.Name)
	assert.NilError(s.t, err)
	s.o.Fence = page.Rows[0].Version
	m, err := New(s.o)
	assert.NilError(s.t, err)
	s.loop.Call(ctx, func() {
		m.SetPools([]string{"a"}, "")
		m.SetWaves([]Wave{s.wave})
		m.Start()
	})
	return m
}

// completed reports whether the status of the wave is completed.
func (s *fleetOwners) completed(ctx context.Context) bool {
	page, err := s.store.Read(ctx, "status", "", "wave")
	assert.NilError(s.t, err)
	return len(page.Rows) > 0 && string(page.Rows[0].Value) == "completed: true"
}

// awaitCompleted waits until the wave is completed, and checks that each VM was maintained.
func (s *fleetOwners) awaitCompleted(ctx context.Context, fleet *fencedVMs, limit time.Duration) {
	for end := time.Now().Add(limit); !s.completed(ctx) && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(s.t, s.completed(ctx), "the wave is not completed; maintained: %v", fleet.begun)
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, name := range fleet.names() {
		assert.Equal(s.t, fleet.begun[name], 1, name)
	}
}

// Guards against more VMs of a wave in maintenance than its cap when an order gets no answer,
// its sender is killed, and the platform carries the order out while the next owner has other
// VMs of the wave in maintenance.
func TestLateOrderOfKilledOwnerKeepsCapOfWave(t *testing.T) {
	for _, limit := range []int{1, 3} {
		for delay := 2 * time.Second; delay <= 12*time.Second; delay += 500 * time.Millisecond {
			t.Run(fmt.Sprintf("cap %d, %v", limit, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playLateOrder(t, limit, delay) })
			})
		}
	}
}

// playLateOrder kills an owner whose first order is carried out after a delay. The VM of that
// order is in use until then.
func playLateOrder(t *testing.T, limit int, delay time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fleet := newFencedVMs(10, limit)
	owners := newFleetOwners(ctx, t, fleet, 5*time.Minute)
	var late string
	var killedAt time.Time
	fleet.choose = func(name string) orderFault {
		if late != "" {
			return orderFault{}
		}
		late = name
		return orderFault{delay: delay}
	}
	fleet.inUse = func(name string) bool {
		return name == late && !killedAt.IsZero() && time.Since(killedAt) < delay
	}
	first := owners.start(ctx)
	for ordered := false; !ordered; {
		time.Sleep(10 * time.Millisecond)
		fleet.mu.Lock()
		ordered = late != ""
		fleet.mu.Unlock()
	}
	time.Sleep(50 * time.Millisecond)
	owners.loop.Call(ctx, first.Stop)
	fleet.mu.Lock()
	killedAt = time.Now()
	fleet.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	next := owners.start(ctx)
	owners.awaitCompleted(ctx, fleet, 3*time.Minute)
	owners.loop.Call(ctx, next.Stop)
	time.Sleep(5 * time.Second)
	assert.Equal(t, fleet.lateBegun, 1)
	assert.Equal(t, len(fleet.broken), 0, "%v", fleet.broken)
}

// Guards against more VMs of a wave in maintenance than its cap, VMs that are left out and
// waves that do not end, under lost and late orders and store calls while owners change.
func TestRandomLateOrdersKeepCapOfWave(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRandomLateOrders(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func playRandomLateOrders(t *testing.T, r *rand.Rand) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fleet := newFencedVMs(6+r.IntN(12), 1+r.IntN(4))
	owners := newFleetOwners(ctx, t, fleet, time.Duration(10+r.IntN(60))*time.Second)
	owners.store.Delay = time.Duration(500+r.IntN(8000)) * time.Millisecond
	faulty := true
	usedUntil := map[string]time.Time{}
	orderRand, storeRand := rand.New(rand.NewPCG(r.Uint64(), 0)), rand.New(rand.NewPCG(r.Uint64(), 0))
	use := func(name string) {
		usedUntil[name] = time.Now().Add(time.Duration(orderRand.IntN(13000)) * time.Millisecond)
	}
	fleet.choose = func(name string) orderFault {
		fault := drawOrderFault(orderRand, faulty)
		// A VM that was ordered gets tasks again while the order is late.
		if fault.delay > 0 && orderRand.IntN(3) > 0 {
			use(name)
		}
		return fault
	}
	fleet.inUse = func(name string) bool {
		if faulty && orderRand.IntN(100) == 0 {
			use(name)
		}
		return time.Now().Before(usedUntil[name])
	}
	owners.store.SetFault(func(rows.Tx) rowstest.Fault { return drawStoreFault(storeRand) })
	for range 3 + r.IntN(6) {
		m := owners.start(ctx)
		time.Sleep(time.Duration(600+r.IntN(4000)) * time.Millisecond)
		if r.IntN(3) == 0 {
			owners.loop.Call(ctx, m.Drain)
			time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
		}
		owners.loop.Call(ctx, m.Stop)
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
	fleet.mu.Lock()
	faulty = false
	fleet.mu.Unlock()
	owners.store.SetFault(nil)
	last := owners.start(ctx)
	owners.awaitCompleted(ctx, fleet, 5*time.Minute)
	owners.loop.Call(ctx, last.Stop)
	time.Sleep(15 * time.Second)
	assert.Equal(t, len(fleet.broken), 0, "%v", fleet.broken)
}

func drawOrderFault(r *rand.Rand, faulty bool) orderFault {
	if !faulty {
		return orderFault{}
	}
	switch n := r.IntN(100); {
	case n < 5:
		return orderFault{throttled: true}
	case n < 10:
		return orderFault{lost: true}
	case n < 20:
		return orderFault{unheard: true}
	case n < 40:
		return orderFault{delay: time.Duration(2000+r.IntN(10000)) * time.Millisecond}
	}
	return orderFault{}
}

func drawStoreFault(r *rand.Rand) rowstest.Fault {
	switch n := r.IntN(100); {
	case n < 4:
		return rowstest.Rejected
	case n < 8:
		return rowstest.RequestLost
	case n < 14:
		return rowstest.ResponseLost
	case n < 20:
		return rowstest.Delayed
	}
	return rowstest.NoFault
}
