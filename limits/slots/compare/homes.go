package compare

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/slots"
)

// homesPolicy shares slots with the ledgers of package slots, one per process.
type homesPolicy struct {
	ledgers []*slots.Ledger
	workers [][]*slots.Worker // By process.
	view    fleet.MemberView
	random  *rand.Rand
}

// newHomesPolicy returns the policy with all processes as members and all workers
// known to each of them.
func newHomesPolicy(now time.Time, s Scenario, p Parameters, random *rand.Rand) *homesPolicy {
	h := &homesPolicy{view: fleet.MemberView{Version: 1}, random: random}
	for i := range s.Processes {
		h.view.Members = append(h.view.Members, fleet.Member{ID: memberID(i), Zone: zoneOf(i)})
	}
	for _, m := range h.view.Members {
		l, err := slots.NewLedger(slots.Options{Lease: p.Lease})
		if err != nil {
			panic(err)
		}
		l.SetMembers(now, h.view, m, true)
		var ws []*slots.Worker
		for w := range s.Workers {
			ws = append(ws, l.PutWorker(now, fleet.VM{ID: workerID(w), Pool: poolID, Zone: zoneOf(w), Slots: slotsPerWorker}))
		}
		h.ledgers, h.workers = append(h.ledgers, l), append(h.workers, ws)
	}
	return h
}

// assign chooses the worker with the fewest busy slots of the process. It prefers
// a worker in the process's zone to any other. The search starts at a random
// worker, so that ties are broken at random.
func (h *homesPolicy) assign(now time.Time, p int) (assignment, bool) {
	h.ledgers[p].Advance(now)
	best, score := -1, 0
	for i, first := 0, h.random.IntN(len(h.workers[p])); i < len(h.workers[p]); i++ {
		w := (first + i) % len(h.workers[p])
		worker := h.workers[p][w]
		if worker.Free() == 0 {
			continue
		}
		s := bits.OnesCount64(worker.Busy())
		if crossZone(p, assignment{worker: w}) {
			s += slotsPerWorker
		}
		if best < 0 || s < score {
			best, score = w, s
		}
	}
	if best < 0 {
		return assignment{}, false
	}
	index := bits.TrailingZeros64(h.workers[p][best].Free())
	h.ledgers[p].Take(h.workers[p][best], index)
	return assignment{best, index}, true
}

func (h *homesPolicy) release(_ time.Time, p int, at assignment) {
	h.ledgers[p].Release(h.workers[p][at.worker], at.index)
}

func (h *homesPolicy) usableSlots(_ time.Time, p int) int {
	n := 0
	for _, w := range h.workers[p] {
		n += bits.OnesCount64(w.Usable())
	}
	return n
}

// idle returns the number of slots that the process can lend.
func (h *homesPolicy) idle(p int) int {
	n := 0
	for _, w := range h.workers[p] {
		n += bits.OnesCount64(w.Idle())
	}
	return n
}

func (h *homesPolicy) evict(now time.Time, p int) {
	next := fleet.MemberView{Version: h.view.Version + 1}
	for _, m := range h.view.Members {
		if m.ID != memberID(p) {
			next.Members = append(next.Members, m)
		}
	}
	h.view = next
	for i, l := range h.ledgers {
		if i != p {
			l.SetMembers(now, next, fleet.Member{ID: memberID(i), Zone: zoneOf(i)}, true)
		}
	}
}
