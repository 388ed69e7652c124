package slots

import (
	"container/heap"
	"time"
)

// timer is the time at which a wait for a release, a loan or a lease ends. It is
// stale when the slot's expiresAt differs.
type timer struct {
	at     time.Time
	worker *Worker
	index  int
}

// timers is a heap of timers, earliest first. It implements heap.Interface.
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

// setExpiry sets the time at which the slot's wait, loan or lease ends and adds
// a timer for it.
func (l *Ledger) setExpiry(w *Worker, index int, at time.Time) {
	w.states[index].expiresAt = at
	heap.Push(&l.timers, timer{at, w, index})
}

// Advance ends the waits for a release, the loans and the leases that have
// expired at the time now. It returns true when a slot may have become free.
func (l *Ledger) Advance(now time.Time) bool {
	freed := false
	for len(l.timers) > 0 && !l.timers[0].at.After(now) {
		t := heap.Pop(&l.timers).(timer)
		if !t.worker.states[t.index].expiresAt.Equal(t.at) {
			continue
		}
		bit := uint64(1) << t.index
		freed = freed || (t.worker.awaitingRelease|t.worker.lent)&bit != 0
		if t.worker.borrowed&bit != 0 {
			l.endLease(t.worker, t.index)
		}
		t.worker.awaitingRelease &^= bit
		t.worker.lent &^= bit
		l.deleteIfUnused(t.worker)
	}
	return freed
}

// endLease queues the return of a borrowed slot whose lease has ended, or marks
// it for return on release while a request holds it.
func (l *Ledger) endLease(w *Worker, index int) {
	bit := uint64(1) << index
	w.borrowed &^= bit
	if w.busy&bit != 0 {
		w.returnDue |= bit
		return
	}
	l.queueReturn(w, index)
}

// NextExpiry returns the earliest time at which Advance may change a slot, or
// false when there is none.
func (l *Ledger) NextExpiry() (time.Time, bool) {
	if len(l.timers) == 0 {
		return time.Time{}, false
	}
	return l.timers[0].at, true
}
