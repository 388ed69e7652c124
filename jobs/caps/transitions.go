package caps

import (
	"cmp"
	"slices"
)

// Demand is what the owner of a pool uses and needs of a cap.
type Demand struct {
	// Use is the share of all runs that may execute.
	Use Share
	// Need is Use and the share of all tasks that could start now.
	Need Share
	// NextStart is the share that the next task or gang takes; 0 if none waits.
	NextStart Share
	// Step is the least share that a pool takes while no other pool needs it, so that
	// few transactions follow.
	Step Share
	// Peak is the highest need of the last seconds. The owner returns the share above it.
	Peak Share
	// Repair permits the owner to replace an unreadable row although it has seen no readable
	// one. Its caller first waits for the other owners, which may have seen one.
	Repair bool
	// served is set if a task or gang was started since the entry's ticket was issued.
	served bool
}

// bounded returns the demand with a need of at least the use, and shares of at most Whole
// except for the use, which can be above the cap.
func (d Demand) bounded() Demand {
	d.NextStart, d.Step = min(d.NextStart, Whole), min(d.Step, Whole)
	d.Need = min(max(d.Need, d.Use), Whole)
	d.Peak = min(max(d.Peak, d.Need), Whole)
	return d
}

// Claim makes a new owner the writer of a pool's entry. The share that the former owner
// held stays held.
func Claim(r Record, pool string, fence uint64) (Record, error) {
	e := r.Entry(pool)
	if e.Fence > fence {
		return r, ErrNewerOwner
	}
	e.Fence = fence
	return r.with(e), nil
}

// Targets returns the share that each entry should hold, in the order of the entries: the
// max-min fair division of the cap by needs. In the order of the tickets, each waiting
// pool gets at least the share of its next start, as far as the cap suffices.
func Targets(r Record) []Share {
	targets := make([]Share, len(r.Entries))
	rest := Whole
	for _, i := range ticketOrder(r.Entries) {
		if least := min(r.Entries[i].Need, r.Entries[i].NextStart); least <= rest {
			targets[i] = least
			rest -= least
		}
	}
	fill(r.Entries, targets, rest)
	return targets
}

// ticketOrder returns the indexes of the entries in the order in which their next starts
// are served. Pools without a ticket do not wait and come last.
func ticketOrder(entries []Entry) []int {
	order := make([]int, len(entries))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(entries[a].Ticket-1, entries[b].Ticket-1), cmp.Compare(a, b))
	})
	return order
}

// fill distributes rest over the entries that need more than their target, so that the
// lowest targets rise first.
func fill(entries []Entry, targets []Share, rest Share) {
	order := make([]int, 0, len(entries))
	for i := range entries {
		if entries[i].Need > targets[i] {
			order = append(order, i)
		}
	}
	for rest > 0 && len(order) > 0 {
		lowest, next := Whole, Whole
		for _, i := range order {
			lowest = min(lowest, targets[i])
		}
		level := order[:0:0]
		for _, i := range order {
			if targets[i] == lowest {
				level = append(level, i)
				next = min(next, entries[i].Need)
			} else {
				next = min(next, targets[i])
			}
		}
		rise := min(next-lowest, rest/Share(len(level)))
		if rise == 0 {
			return // Less than one part per pool is left.
		}
		for _, i := range level {
			targets[i] += rise
			rest -= rise
		}
		order = slices.DeleteFunc(order, func(i int) bool { return targets[i] >= entries[i].Need })
	}
}

// Take raises the share that a pool holds to goal, as far as the cap is free.
func Take(r Record, pool string, goal Share) Record {
	e := r.Entry(pool)
	e.Held = max(e.Held, min(goal, e.Held+max(r.Free(), 0)))
	return r.with(e)
}

// Return lowers the share that a pool holds to keep.
func Return(r Record, pool string, keep Share) Record {
	e := r.Entry(pool)
	e.Held = min(e.Held, keep)
	return r.with(e)
}

const (
	// minNeedChange is the change of an unmet need or of an overuse from which it is
	// written again.
	minNeedChange = Whole / 50
	// minReturn is the least share that is returned while no other pool waits, unless the
	// pool returns all.
	minReturn = Whole / 50
)

// headroom returns the share that an owner takes for a need while no other pool waits, so
// that a growing need takes few transactions.
func headroom(need, step Share) Share { return min(max(need+need/2, step), Whole) }

// target returns the share that the pool should hold, with the demand in its entry.
func target(r Record, pool string, d Demand) Share {
	i, _ := r.find(pool)
	share := Targets(r)[i]
	if e := r.Entries[i]; d.served && e.Ticket > 0 && share <= e.NextStart {
		// The ticket is used up, so the other waiting pools come first.
		e.Ticket = r.LastTicket + 1
		return Targets(r.with(e))[i]
	}
	return share
}

// next returns the record that the owner of a pool should write and reports whether it
// differs enough from the present one to write it.
func next(r Record, pool string, fence uint64, d Demand) (Record, bool, error) {
	d = d.bounded()
	before := r.Entry(pool)
	claimed, err := Claim(r, pool, fence)
	if err != nil {
		return r, false, err
	}
	e := claimed.Entry(pool)
	e.Need, e.NextStart = d.Need, d.NextStart
	after := claimed.with(e)
	if r.othersUnmet(pool) {
		goal := min(d.Need, target(after, pool, d))
		after = Return(after, pool, max(d.Use, goal))
		after = Take(after, pool, goal)
	} else {
		if before.Held < d.Need {
			after = Take(after, pool, headroom(d.Need, d.Step))
		}
		if keep := unusedAbove(d); keep == 0 || after.Entry(pool).Held-keep >= minReturn {
			after = Return(after, pool, keep)
		}
	}
	after = issueTicket(noteOveruse(after, pool, d.Use), pool, d)
	return after, worthWriting(before, after.Entry(pool)), nil
}

// unusedAbove returns the share that an owner keeps while no other pool waits.
func unusedAbove(d Demand) Share {
	if d.Peak == 0 {
		return 0
	}
	return headroom(d.Peak, d.Step)
}

// noteOveruse records a use above the share held, so that other pools start nothing in its
// place.
func noteOveruse(r Record, pool string, use Share) Record {
	e := r.Entry(pool)
	e.Overuse = 0
	if use > e.Held {
		e.Overuse = use
	}
	return r.with(e)
}

// issueTicket gives a pool with an unmet need a ticket. A pool that was served gets a new
// one, so that the pools that wait longer come first.
func issueTicket(r Record, pool string, d Demand) Record {
	e := r.Entry(pool)
	i, _ := r.find(pool)
	switch {
	case !e.unmet():
		e.Ticket = 0
	case e.Ticket == 0, d.served && Targets(r)[i] <= e.NextStart && r.othersUnmet(pool):
		e.Ticket = r.LastTicket + 1
	}
	return r.with(e)
}

// worthWriting reports whether a changed entry matters to any owner.
func worthWriting(before, after Entry) bool {
	switch {
	case before.Fence != after.Fence:
		return after.Held > 0 || after.Need > 0 || before.Held > 0 || before.unmet() || before.Overuse > 0
	case before.Held != after.Held, before.unmet() != after.unmet(), before.Ticket != after.Ticket:
		return true
	case after.Overuse > before.Overuse, differs(before.Overuse, after.Overuse):
		return true
	}
	return after.unmet() && (differs(before.Need, after.Need) || after.NextStart > before.NextStart)
}

// differs reports whether a share has changed by at least minNeedChange or has become 0.
func differs(before, after Share) bool {
	change := max(after-before, before-after)
	return change >= minNeedChange || change > 0 && (before == 0 || after == 0)
}
