package slots

import "peridotcrank.dev/fleet"

// Handover tells the new home of slots that this process, a previous home of
// them, no longer uses them.
type Handover struct {
	// To is the home of the slots in the member view in which this process lost
	// them.
	To fleet.MemberID
	// ViewVersion is the version of that view, not of the current one. Another
	// member may have become the home in between, and this process doesn't know
	// whether that member still uses the slots.
	ViewVersion uint64
	Slots       []Slot
}

// queueHandover adds a lost slot that this process no longer uses to the
// handover for its new home.
func (l *Ledger) queueHandover(w *Worker, index int) {
	s := &w.states[index]
	for i := range l.handovers {
		if h := &l.handovers[i]; h.To == s.newHome && h.ViewVersion == s.lostVersion {
			h.Slots = append(h.Slots, Slot{w.id, index})
			return
		}
	}
	l.handovers = append(l.handovers, Handover{s.newHome, s.lostVersion, []Slot{{w.id, index}}})
}

// DrainHandovers returns the pending handovers and clears them. The caller sends
// each one as a ReturnRequest with its ViewVersion, so that the new home can use
// the slots without waiting. When the message is lost, the new home waits until
// the previous use has certainly ended.
func (l *Ledger) DrainHandovers() []Handover {
	taken := l.handovers
	l.handovers = nil
	return taken
}
