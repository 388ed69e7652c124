package compare

import "time"

// division divides the slots of each worker between the processes round-robin.
type division struct {
	members  []int
	owner    [][]int       // By worker and index.
	usableAt [][]time.Time // Time from which the owner may use the slot.
	busy     [][]bool
}

func newDivision(s Scenario) *division {
	d := &division{}
	for p := range s.Processes {
		d.members = append(d.members, p)
	}
	for range s.Workers {
		d.owner = append(d.owner, make([]int, slotsPerWorker))
		d.usableAt = append(d.usableAt, make([]time.Time, slotsPerWorker))
		d.busy = append(d.busy, make([]bool, slotsPerWorker))
	}
	d.divide(time.Time{})
	return d
}

// divide assigns the slots to the members. A slot with a new owner becomes usable
// at usableAt.
func (d *division) divide(usableAt time.Time) {
	for w := range d.owner {
		for i := range d.owner[w] {
			if p := d.members[(w*slotsPerWorker+i)%len(d.members)]; d.owner[w][i] != p {
				d.owner[w][i], d.usableAt[w][i] = p, usableAt
			}
		}
	}
}

// assign chooses the worker with the most free slots of the process.
func (d *division) assign(now time.Time, p int) (assignment, bool) {
	best, found, most := assignment{}, false, 0
	for w := range d.owner {
		free, index := 0, 0
		for i, owner := range d.owner[w] {
			if owner == p && !d.busy[w][i] && !d.usableAt[w][i].After(now) {
				free, index = free+1, i
			}
		}
		if free > most {
			best, found, most = assignment{w, index}, true, free
		}
	}
	if found {
		d.busy[best.worker][best.index] = true
	}
	return best, found
}

func (d *division) release(_ time.Time, _ int, at assignment) { d.busy[at.worker][at.index] = false }

func (d *division) usableSlots(now time.Time, p int) int {
	n := 0
	for w := range d.owner {
		for i, owner := range d.owner[w] {
			if owner == p && !d.usableAt[w][i].After(now) {
				n++
			}
		}
	}
	return n
}

// evict divides the slots between the remaining processes. The slots that change
// owner become usable after evictedSlotDelay.
func (d *division) evict(now time.Time, p int) {
	var remaining []int
	for _, m := range d.members {
		if m != p {
			remaining = append(remaining, m)
		}
	}
	d.members = remaining
	d.divide(now.Add(evictedSlotDelay))
}
