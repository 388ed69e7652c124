package slots

import "peridotcrank.dev/fleet"

// Handover tells the new home of slots that this process, their previous home,
// no longer uses them.
type Handover struct {
	// To is the home with the view in which this process lost the slots.
	To fleet.MemberID
	// View is the version of that view. It is not the present version: between
	// the two, another member may have become the home, and this process knows
	// nothing about that member's use.
	View  uint64
	Slots []Slot
}

// handOver notes that a lost slot is not used any more.
func (l *Ledger) handOver(w *Worker, index int) {
	s := &w.slots[index]
	for i := range l.handovers {
		if h := &l.handovers[i]; h.To == s.newHome && h.View == s.lostView {
			h.Slots = append(h.Slots, Slot{w.id, index})
			return
		}
	}
	l.handovers = append(l.handovers, Handover{s.newHome, s.lostView, []Slot{{w.id, index}}})
}

// Handovers returns the slots that this process has lost with a change of view
// and no longer uses, and forgets them. The caller sends each as a
// ReturnRequest with its View, so that the new home need not wait. A lost
// message costs time only.
func (l *Ledger) Handovers() []Handover {
	taken := l.handovers
	l.handovers = nil
	return taken
}
