package compare

import (
	"math/rand/v2"
	"time"
)

// twoChoices sends each request to the less loaded of two random workers,
// according to the process's own counts. A process never has more requests at a
// worker than the worker has slots.
type twoChoices struct {
	random  *rand.Rand
	workers int
	counts  [][]int // By process and worker.
}

func (t *twoChoices) assign(_ time.Time, p int) (assignment, bool) {
	if t.counts[p] == nil {
		t.counts[p] = make([]int, t.workers)
	}
	a, b := t.random.IntN(t.workers), t.random.IntN(t.workers)
	if t.counts[p][b] < t.counts[p][a] {
		a = b
	}
	if t.counts[p][a] >= slotsPerWorker {
		return assignment{}, false
	}
	t.counts[p][a]++
	return assignment{worker: a}, true
}

func (t *twoChoices) release(_ time.Time, p int, at assignment) { t.counts[p][at.worker]-- }
func (t *twoChoices) usableSlots(time.Time, int) int            { return t.workers * slotsPerWorker }
func (t *twoChoices) evict(time.Time, int)                      {}
