package compare

import (
	"math/rand/v2"
	"time"
)

// twoWay sends to the less loaded of two random workers by the process's own
// counts, and never holds more than a worker's slots.
type twoWay struct {
	random  *rand.Rand
	workers int
	counts  [][]int // By process and worker.
}

func (t *twoWay) take(_ time.Time, p int) (place, bool) {
	if t.counts[p] == nil {
		t.counts[p] = make([]int, t.workers)
	}
	a, b := t.random.IntN(t.workers), t.random.IntN(t.workers)
	if t.counts[p][b] < t.counts[p][a] {
		a = b
	}
	if t.counts[p][a] >= slotsPerWorker {
		return place{}, false
	}
	t.counts[p][a]++
	return place{worker: a}, true
}

func (t *twoWay) release(_ time.Time, p int, at place) { t.counts[p][at.worker]-- }
func (t *twoWay) slots(time.Time, int) int             { return t.workers * slotsPerWorker }
func (t *twoWay) evict(time.Time, int)                 {}
