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

// op is one event in the life of a site; A and B select processes, slots or
// workers, and Wait is the time until the next event or the delay of a message.
type op struct{ Kind, A, B, Wait int }

const (
	opConfirm = iota
	opPush
	opEvict
	opJoin
	opUse
	opBorrow
	opGiveBack
	opHandover
	opWorker
)

// kinds weights the events: uses and confirmations are the most frequent.
var kinds = append(slices.Repeat([]int{
	opUse, opUse, opUse, opUse, opUse, opConfirm, opConfirm, opBorrow, opBorrow, opHandover, opHandover,
}, 18), opGiveBack, opGiveBack, opPush, opPush, opEvict, opEvict, opJoin, opJoin, opWorker)

var waits = []int{20, 90, 160, 290, 700, 1900, 1990}

// events returns n random events. They are drawn from a seed, since rapid
// prefers small numbers and would rarely pick the later kinds and processes.
func events(seed uint64, n int) []op {
	random, ops := rand.New(rand.NewPCG(seed, 0)), make([]op, n)
	for i := range ops {
		ops[i] = op{kinds[random.IntN(len(kinds))], random.IntN(4), random.IntN(12), waits[random.IntN(len(waits))]}
	}
	return ops
}

// process is an entry process with its own ledger and its own knowledge.
type process struct {
	ledger    *Ledger
	self      fleet.Member
	vms       map[fleet.VMID]fleet.VM
	confirmed time.Time
	observed  time.Time // Last time the view was seen to be valid.
}

// world is the truth: the member views, the uses of slots and the messages.
type world struct {
	now       time.Time
	view      fleet.MemberView
	vms       map[fleet.VMID]fleet.VM
	processes []*process
	users     map[Slot]*process
	events    []event
	uses      int
	borrowed  int // Uses of borrowed slots.
	moved     int // Uses of slots that became the user's home after the first view.
	err       error
}

type event struct {
	at time.Time
	do func()
}

func newWorld(o Options) *world {
	vms, members := site(3, 4)
	w := &world{now: time.Unix(1000, 0), vms: vms, users: map[Slot]*process{}}
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

func (w *world) valid(p *process) bool { return w.now.Before(p.confirmed.Add(DefaultValidity)) }

// step moves time forward in small steps, so that validity is observed as
// often as heartbeats do it, and runs the events that are due.
func (w *world) step(d time.Duration) {
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

func (w *world) after(ms int, do func()) {
	w.events = append(w.events, event{w.now.Add(time.Duration(ms) * time.Millisecond), do})
}

func (w *world) learn(p *process) {
	p.ledger.SetMembers(w.now, w.view, p.self, w.now.Sub(p.observed) <= ObservationSlack)
	p.ledger.SetWorkers(w.now, p.vms)
}

func (w *world) setMembers(members []fleet.Member) {
	w.view = fleet.MemberView{Version: w.view.Version + 1, Members: members}
}

func (w *world) without(p *process) []fleet.Member {
	return slices.DeleteFunc(slices.Clone(w.view.Members), func(m fleet.Member) bool { return m.ID == p.self.ID })
}

// use takes the first free slot from a starting point, borrowed ones first.
func (w *world) use(p *process, start, ms int) {
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
		w.take(p, own, slot, ms)
	}
}

func (w *world) take(p *process, worker *Worker, s Slot, ms int) {
	if other := w.users[s]; other != nil && w.err == nil {
		w.err = fmt.Errorf("%s takes %v, which %s uses", p.self.ID, s, other.self.ID)
	}
	w.uses++
	if worker.Borrowed()&(1<<s.Index) != 0 {
		w.borrowed++
	} else if worker.slots[s.Index].gained > 1 {
		w.moved++
	}
	p.ledger.Take(worker, s.Index)
	w.users[s] = p
	w.after(ms, func() {
		p.ledger.Release(worker, s.Index)
		delete(w.users, s)
	})
}

func (w *world) borrow(p, q *process, ms int) {
	r, sent := BorrowRequest{From: p.self.ID, View: p.ledger.Version(), Pool: "p", Count: 3}, w.now
	w.after(ms/20, func() {
		reply := q.ledger.Lend(w.now, r, q.workers())
		w.after(ms/20, func() { p.ledger.Borrow(w.now, sent, q.self.ID, r, reply) })
	})
}

func (p *process) workers() []*Worker {
	return slices.SortedFunc(maps.Values(p.ledger.workers), func(a, b *Worker) int { return cmp.Compare(a.id, b.id) })
}

func (w *world) send(p *process, view uint64, given map[fleet.MemberID][]Slot, ms int) {
	for id, s := range given {
		for _, q := range w.processes {
			if q.self.ID == id {
				w.after(ms, func() { q.ledger.TakeBack(ReturnRequest{p.self.ID, view, s}) })
			}
		}
	}
}

func (w *world) do(o op) {
	p := w.processes[o.A]
	switch o.Kind {
	case opConfirm, opPush:
		w.learn(p)
		if o.Kind == opConfirm {
			p.confirmed = w.now
		}
	case opEvict:
		if len(w.view.Members) > 2 {
			w.setMembers(w.without(p))
		}
	case opJoin:
		w.join()
	case opUse:
		w.use(p, o.B, o.Wait)
	case opBorrow:
		w.borrow(p, w.processes[o.B%4], o.Wait)
	case opGiveBack:
		p.ledger.GiveBack(p.workers())
		w.send(p, 0, p.ledger.Returns(w.now), o.Wait/4)
	case opHandover:
		w.send(p, 0, p.ledger.Returns(w.now), o.Wait/4)
		for _, h := range p.ledger.Handovers() {
			w.send(p, h.View, map[fleet.MemberID][]Slot{h.To: h.Slots}, o.Wait)
		}
	case opWorker:
		less := maps.Clone(w.vms)
		delete(less, fleet.VMID(fmt.Sprintf("vm-%02d", o.B%3)))
		p.vms = less
		p.ledger.SetWorkers(w.now, less)
		w.after(o.Wait, func() {
			p.vms = w.vms
			p.ledger.SetWorkers(w.now, w.vms)
		})
	}
}

// join adds the first process that is not a member.
func (w *world) join() {
	for _, p := range w.processes {
		if isMember(w.view, p.self) {
			continue
		}
		p.self.Incarnation++
		w.setMembers(append(w.without(p), p.self))
		w.learn(p)
		p.confirmed = w.now
		return
	}
}

// exclusive runs the events; err is the first use of a slot that another
// process uses.
func exclusive(o Options, ops []op) *world {
	w := newWorld(o)
	w.setMembers([]fleet.Member{w.processes[0].self, w.processes[1].self, w.processes[2].self})
	for _, p := range w.processes {
		w.learn(p)
		p.confirmed = w.now
	}
	for _, o := range ops {
		w.do(o)
		w.step(time.Duration(o.Wait%100) * time.Millisecond)
	}
	return w
}

// Guards against two members using one slot at once while members join, are
// evicted, skip views, lend and lose messages, and workers come and go.
func TestSlotsAreExclusive(t *testing.T) {
	// Skipped views: in the first history a slot's wait ended while a member
	// that had joined meanwhile used the slot; in the second a process handed
	// over a slot that had had another home in between.
	for _, seed := range []uint64{0x91f0b0dc5a9fb, 0x30f3} {
		assert.NilError(t, exclusive(Options{Lease: 2 * time.Second}, events(seed, 1000)).err)
	}
	rapid.Check(t, func(t *rapid.T) {
		assert.NilError(t, exclusive(Options{Lease: 2 * time.Second}, events(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1000, 1500).Draw(t, "events"))).err)
	})
}

// Guards against a check above that cannot fail: without the wait after a
// change of home it must find two users, and with it slots must be used at all.
func TestExclusiveCheckFindsPlantedFault(t *testing.T) {
	var found, uses, borrowed, moved int
	for seed := range 40 {
		ops := events(uint64(seed), 1500)
		w := exclusive(Options{Lease: 2 * time.Second}, ops)
		assert.NilError(t, w.err)
		uses, borrowed, moved = uses+w.uses, borrowed+w.borrowed, moved+w.moved
		if exclusive(Options{Validity: 1, InFlight: 1, Lease: 1}, ops).err != nil {
			found++
		}
	}
	t.Logf("%d uses, %d of borrowed and %d of moved slots; planted fault found with %d of 40 seeds", uses, borrowed, moved, found)
	assert.Assert(t, found > 30)
	assert.Assert(t, borrowed > 1000 && moved > 2000)
}
