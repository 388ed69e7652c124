package slots

import (
	"container/heap"
	"time"
)

// timer is the time at which a wait, a loan or a lease ends. It is stale when
// the slot's state has another time.
type timer struct {
	at     time.Time
	worker *Worker
	index  int
}

// timers is a heap by time.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

// arm sets the end of the slot's present state.
func (l *Ledger) arm(w *Worker, index int, at time.Time) {
	w.slots[index].until = at
	heap.Push(&l.timers, timer{at, w, index})
}

// Advance ends the waits, loans and leases that are over. It reports whether a
// slot may have become free.
func (l *Ledger) Advance(now time.Time) bool {
	freed := false
	for len(l.timers) > 0 && !l.timers[0].at.After(now) {
		t := heap.Pop(&l.timers).(timer)
		if !t.worker.slots[t.index].until.Equal(t.at) {
			continue
		}
		bit := uint64(1) << t.index
		freed = freed || (t.worker.waiting|t.worker.lent)&bit != 0
		if t.worker.borrowed&bit != 0 {
			l.endLease(t.worker, t.index)
		}
		t.worker.waiting &^= bit
		t.worker.lent &^= bit
		l.forget(t.worker)
	}
	return freed
}

// endLease gives a borrowed slot back, or notes to do so on its release.
func (l *Ledger) endLease(w *Worker, index int) {
	bit := uint64(1) << index
	w.borrowed &^= bit
	if w.busy&bit != 0 {
		w.returnDue |= bit
		return
	}
	l.giveBack(w, index)
}

// Next returns the earliest time at which Advance may change a slot. It
// reports false when there is none.
func (l *Ledger) Next() (time.Time, bool) {
	if len(l.timers) == 0 {
		return time.Time{}, false
	}
	return l.timers[0].at, true
}
