package compare

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/slots"
)

// homes uses the ledgers of package slots, one per process.
type homes struct {
	ledgers []*slots.Ledger
	workers [][]*slots.Worker // By process.
	view    fleet.MemberView
	random  *rand.Rand
}

func newHomes(now time.Time, s Scenario, p Parameters, random *rand.Rand) *homes {
	h := &homes{view: fleet.MemberView{Version: 1}, random: random}
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

func (h *homes) take(now time.Time, p int) (place, bool) {
	h.ledgers[p].Advance(now)
	best, score := -1, 0
	for i, first := 0, h.random.IntN(len(h.workers[p])); i < len(h.workers[p]); i++ {
		w := (first + i) % len(h.workers[p])
		worker := h.workers[p][w]
		if worker.Free() == 0 {
			continue
		}
		s := bits.OnesCount64(worker.Busy())
		if far(p, place{worker: w}) {
			s += slotsPerWorker
		}
		if best < 0 || s < score {
			best, score = w, s
		}
	}
	if best < 0 {
		return place{}, false
	}
	index := bits.TrailingZeros64(h.workers[p][best].Free())
	h.ledgers[p].Take(h.workers[p][best], index)
	return place{best, index}, true
}

func (h *homes) release(_ time.Time, p int, at place) {
	h.ledgers[p].Release(h.workers[p][at.worker], at.index)
}

func (h *homes) slots(_ time.Time, p int) int {
	n := 0
	for _, w := range h.workers[p] {
		n += bits.OnesCount64(w.Usable())
	}
	return n
}

func (h *homes) idle(p int) int {
	n := 0
	for _, w := range h.workers[p] {
		n += bits.OnesCount64(w.Idle())
	}
	return n
}

func (h *homes) evict(now time.Time, p int) {
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
