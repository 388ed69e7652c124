package slots

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotcrank.dev/fleet"
)

// operation is one event of a simulated site. A and B select processes, slots or
// workers. Wait is the duration of a use or the delay of a message in
// milliseconds, and modulo 100 the time until the next operation.
type operation struct{ Kind, A, B, Wait int }

const (
	opConfirm = iota
	opPush
	opEvict
	opJoin
	opUse
	opBorrow
	opReturn
	opHandover
	opWorker
)

// weightedKinds lists the kinds of operations by frequency: uses and confirmations
// are the most frequent.
var weightedKinds = append(slices.Repeat([]int{
	opUse, opUse, opUse, opUse, opUse, opConfirm, opConfirm, opBorrow, opBorrow, opHandover, opHandover,
}, 18), opReturn, opReturn, opPush, opPush, opEvict, opEvict, opJoin, opJoin, opWorker)

var waits = []int{20, 90, 160, 290, 700, 1900, 1990}

// randomOperations returns n random operations. They are drawn from a seed, since
// rapid prefers small numbers and would rarely pick the later kinds and processes.
func randomOperations(seed uint64, n int) []operation {
	random, ops := rand.New(rand.NewPCG(seed, 0)), make([]operation, n)
	for i := range ops {
		ops[i] = operation{weightedKinds[random.IntN(len(weightedKinds))], random.IntN(4), random.IntN(12), waits[random.IntN(len(waits))]}
	}
	return ops
}

// process is an entry process with its ledger and its view of members and workers.
type process struct {
	ledger    *Ledger
	self      fleet.Member
	vms       map[fleet.VMID]fleet.VM
	confirmed time.Time
	observed  time.Time // Last time at which the view was valid.
}

// sim is the global state of a simulated site: the member view, the actual users
// of the slots and the messages in flight.
type sim struct {
	now       time.Time
	view      fleet.MemberView
	vms       map[fleet.VMID]fleet.VM
	processes []*process
	users     map[Slot]*process
	events    []event
	uses      int
	borrowed  int // Uses of borrowed slots.
	moved     int // Uses of slots that their home gained after the first view.
	err       error
}

type event struct {
	at time.Time
	do func()
}

func newSim(o Options) *sim {
	vms, members := site(3, 4)
	w := &sim{now: time.Unix(1000, 0), vms: vms, users: map[Slot]*process{}}
	for id, vm := range vms {
		vm.Slots = 2
		vms[id] = vm
	}
	for _, m := range members {
		l, _ := NewLedger(o)
		w.processes = append(w.processes, &process{ledger: l, self: m, vms: vms})
	}
	return w
}

// valid reports whether the member view of p was confirmed recently enough.
func (w *sim) valid(p *process) bool { return w.now.Before(p.confirmed.Add(DefaultViewValidity)) }

// advance moves the time forward in small steps, so that the validity is observed
// as often as with heartbeats, and runs the events that are due.
func (w *sim) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(min(250*time.Millisecond, end.Sub(w.now)))
		isDue := func(e event) bool { return !e.at.After(w.now) }
		due := slices.Clone(w.events)
		w.events = slices.DeleteFunc(w.events, isDue)
		for _, e := range due {
			if isDue(e) {
				e.do()
			}
		}
		for _, p := range w.processes {
			p.ledger.Advance(w.now)
			if w.valid(p) {
				p.observed = w.now
			}
		}
	}
}

// after schedules do after the delay in milliseconds.
func (w *sim) after(ms int, do func()) {
	w.events = append(w.events, event{w.now.Add(time.Duration(ms) * time.Millisecond), do})
}

// deliverView lets a process adopt the current member view and workers.
func (w *sim) deliverView(p *process) {
	p.ledger.SetMembers(w.now, w.view, p.self, w.now.Sub(p.observed) <= MaxObservationAge)
	p.ledger.SetWorkers(w.now, p.vms)
}

func (w *sim) setMembers(members []fleet.Member) {
	w.view = fleet.MemberView{Version: w.view.Version + 1, Members: members}
}

// membersWithout returns the current members except the process.
func (w *sim) membersWithout(p *process) []fleet.Member {
	return slices.DeleteFunc(slices.Clone(w.view.Members), func(m fleet.Member) bool { return m.ID == p.self.ID })
}

// useFreeSlot starts a request on a free slot and prefers borrowed ones. The
// search begins at the slot number start.
func (w *sim) useFreeSlot(p *process, start, ms int) {
	var own *Worker
	var slot Slot
	for i := range 6 {
		s := Slot{fleet.VMID(fmt.Sprintf("vm-%02d", (start+i)%3)), (start + i) / 3 % 2}
		worker := p.ledger.Worker(s.VM)
		if worker == nil || worker.Free()&(1<<s.Index) == 0 {
			continue
		}
		if borrowed := worker.Borrowed()&(1<<s.Index) != 0; own == nil || borrowed {
			own, slot = worker, s
		}
	}
	if own != nil && w.valid(p) {
		w.startRequest(p, own, slot, ms)
	}
}

// startRequest holds a slot for the given time and records an error when another
// process holds it.
func (w *sim) startRequest(p *process, worker *Worker, s Slot, ms int) {
	if other := w.users[s]; other != nil && w.err == nil {
		w.err = fmt.Errorf("%s takes %v, which %s uses", p.self.ID, s, other.self.ID)
	}
	w.uses++
	if worker.Borrowed()&(1<<s.Index) != 0 {
		w.borrowed++
	} else if worker.states[s.Index].gainedVersion > 1 {
		w.moved++
	}
	p.ledger.Take(worker, s.Index)
	w.users[s] = p
	w.after(ms, func() {
		p.ledger.Release(worker, s.Index)
		delete(w.users, s)
	})
}

// borrow lets p request slots from q, with delays of ms/20 for request and reply.
func (w *sim) borrow(p, q *process, ms int) {
	r, sent := BorrowRequest{From: p.self.ID, ViewVersion: p.ledger.Version(), Pool: "p", Count: 3}, w.now
	w.after(ms/20, func() {
		reply := q.ledger.Lend(w.now, r, q.workers())
		w.after(ms/20, func() { p.ledger.AcceptLoan(w.now, sent, q.self.ID, r, reply) })
	})
}

func (p *process) workers() []*Worker {
	return slices.SortedFunc(maps.Values(p.ledger.workers), func(a, b *Worker) int { return cmp.Compare(a.id, b.id) })
}

// sendReturns delivers returns (view 0) or handovers after the delay.
func (w *sim) sendReturns(p *process, view uint64, given map[fleet.MemberID][]Slot, ms int) {
	for id, s := range given {
		for _, q := range w.processes {
			if q.self.ID == id {
				w.after(ms, func() { q.ledger.AcceptReturn(ReturnRequest{p.self.ID, view, s}) })
			}
		}
	}
}

// apply performs one operation.
func (w *sim) apply(o operation) {
	p := w.processes[o.A]
	switch o.Kind {
	case opConfirm, opPush:
		w.deliverView(p)
		if o.Kind == opConfirm {
			p.confirmed = w.now
		}
	case opEvict:
		if len(w.view.Members) > 2 {
			w.setMembers(w.membersWithout(p))
		}
	case opJoin:
		w.joinOne()
	case opUse:
		w.useFreeSlot(p, o.B, o.Wait)
	case opBorrow:
		w.borrow(p, w.processes[o.B%4], o.Wait)
	case opReturn:
		p.ledger.ReturnUnused(p.workers())
		w.sendReturns(p, 0, p.ledger.DrainReturns(w.now), o.Wait/4)
	case opHandover:
		w.sendReturns(p, 0, p.ledger.DrainReturns(w.now), o.Wait/4)
		for _, h := range p.ledger.DrainHandovers() {
			w.sendReturns(p, h.ViewVersion, map[fleet.MemberID][]Slot{h.To: h.Slots}, o.Wait)
		}
	case opWorker:
		remaining := maps.Clone(w.vms)
		delete(remaining, fleet.VMID(fmt.Sprintf("vm-%02d", o.B%3)))
		p.vms = remaining
		p.ledger.SetWorkers(w.now, remaining)
		w.after(o.Wait, func() {
			p.vms = w.vms
			p.ledger.SetWorkers(w.now, w.vms)
		})
	}
}

// joinOne adds the first process that is not a member to the member view.
func (w *sim) joinOne() {
	for _, p := range w.processes {
		if isMember(w.view, p.self) {
			continue
		}
		p.self.Incarnation++
		w.setMembers(append(w.membersWithout(p), p.self))
		w.deliverView(p)
		p.confirmed = w.now
		return
	}
}

// simulate applies the operations to a new site. The err of the result is the
// first use of a slot that another process was using.
func simulate(o Options, ops []operation) *sim {
	w := newSim(o)
	w.setMembers([]fleet.Member{w.processes[0].self, w.processes[1].self, w.processes[2].self})
	for _, p := range w.processes {
		w.deliverView(p)
		p.confirmed = w.now
	}
	for _, o := range ops {
		w.apply(o)
		w.advance(time.Duration(o.Wait%100) * time.Millisecond)
	}
	return w
}

// Guards against two members that use one slot at once while members join, are
// evicted, skip views, lend slots and lose messages, and workers come and go.
func TestSlotsAreExclusive(t *testing.T) {
	// Seeds of faults with skipped views. With the first, the wait for a slot
	// ended while a member that had joined in between used the slot; with the
	// second, a process handed over a slot that had another home in between.
	for _, seed := range []uint64{0x91f0b0dc5a9fb, 0x30f3} {
		assert.NilError(t, simulate(Options{Lease: 2 * time.Second}, randomOperations(seed, 1000)).err)
	}
	rapid.Check(t, func(t *rapid.T) {
		assert.NilError(t, simulate(Options{Lease: 2 * time.Second}, randomOperations(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1000, 1500).Draw(t, "events"))).err)
	})
}

// Guards against a simulation that cannot detect shared slots: without the wait
// after a change of home it must find two users of one slot, and with the wait
// borrowed and moved slots must be used.
func TestExclusiveCheckFindsPlantedFault(t *testing.T) {
	var found, uses, borrowed, moved int
	for seed := range 40 {
		ops := randomOperations(uint64(seed), 1500)
		w := simulate(Options{Lease: 2 * time.Second}, ops)
		assert.NilError(t, w.err)
		uses, borrowed, moved = uses+w.uses, borrowed+w.borrowed, moved+w.moved
		if simulate(Options{ViewValidity: 1, InFlightTime: 1, Lease: 1}, ops).err != nil {
			found++
		}
	}
	t.Logf("%d uses, %d of borrowed and %d of moved slots; planted fault found with %d of 40 seeds", uses, borrowed, moved, found)
	assert.Assert(t, found > 30)
	assert.Assert(t, borrowed > 1000 && moved > 2000)
}
