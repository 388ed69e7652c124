package compare

import "time"

// static divides each worker's slots between the processes in rotation.
type static struct {
	members []int
	owner   [][]int // By worker and index.
	usable  [][]time.Time
	busy    [][]bool
}

func newStatic(s Scenario) *static {
	d := &static{}
	for p := range s.Processes {
		d.members = append(d.members, p)
	}
	for range s.Workers {
		d.owner = append(d.owner, make([]int, slotsPerWorker))
		d.usable = append(d.usable, make([]time.Time, slotsPerWorker))
		d.busy = append(d.busy, make([]bool, slotsPerWorker))
	}
	d.divide(time.Time{})
	return d
}

// divide assigns the slots; those with a new owner become usable at a time.
func (d *static) divide(usable time.Time) {
	for w := range d.owner {
		for i := range d.owner[w] {
			if p := d.members[(w*slotsPerWorker+i)%len(d.members)]; d.owner[w][i] != p {
				d.owner[w][i], d.usable[w][i] = p, usable
			}
		}
	}
}

func (d *static) take(now time.Time, p int) (place, bool) {
	best, found, most := place{}, false, 0
	for w := range d.owner {
		free, index := 0, 0
		for i, owner := range d.owner[w] {
			if owner == p && !d.busy[w][i] && !d.usable[w][i].After(now) {
				free, index = free+1, i
			}
		}
		if free > most {
			best, found, most = place{w, index}, true, free
		}
	}
	if found {
		d.busy[best.worker][best.index] = true
	}
	return best, found
}

func (d *static) release(_ time.Time, _ int, at place) { d.busy[at.worker][at.index] = false }

func (d *static) slots(now time.Time, p int) int {
	n := 0
	for w := range d.owner {
		for i, owner := range d.owner[w] {
			if owner == p && !d.usable[w][i].After(now) {
				n++
			}
		}
	}
	return n
}

func (d *static) evict(now time.Time, p int) {
	var left []int
	for _, m := range d.members {
		if m != p {
			left = append(left, m)
		}
	}
	d.members = left
	d.divide(now.Add(expired))
}
