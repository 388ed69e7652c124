package membership

import (
	"slices"
	"time"
)

// RecordStoreRead records a successful read of the members row. It adopts a newer
// view, and confirms the view as of the time at which the read was started.
func (t *Tracker) RecordStoreRead(now time.Duration, read StoreRead) {
	t.SetView(now, read.View)
	if read.View.Version == t.view.Version && t.InView() {
		t.confirmAt(read.Started)
	}
}

// confirmByPeers confirms the view as of the latest time since which a majority of
// its members, including this process, have acknowledged a heartbeat while holding
// the same view and no newer fleet revision than this process.
func (t *Tracker) confirmByPeers(now time.Duration) {
	if !t.InView() {
		return
	}
	confirmationTimes := []time.Duration{now} // This process confirms the view now.
	for member, r := range t.reports {
		if member != t.self && r.acknowledged && r.acknowledgement.ViewVersion == t.view.Version && r.acknowledgement.FleetRevision <= t.revision {
			confirmationTimes = append(confirmationTimes, r.sentAt)
		}
	}
	needed := majority(len(t.view.Members))
	if len(confirmationTimes) < needed {
		return
	}
	slices.Sort(confirmationTimes)
	t.confirmAt(confirmationTimes[len(confirmationTimes)-needed])
}

func (t *Tracker) confirmAt(at time.Duration) {
	if !t.confirmed || at > t.confirmedAt {
		t.confirmed, t.confirmedAt = true, at
	}
}

// Valid reports whether the view of this process is valid, which means that it was
// confirmed less than ValidFor ago.
func (t *Tracker) Valid(now time.Duration) bool {
	until, ok := t.ValidUntil()
	return ok && now < until
}

// ValidUntil returns the time at which validity ends unless the view is confirmed
// again. It returns false when the view was never confirmed or does not contain this
// process.
func (t *Tracker) ValidUntil() (time.Duration, bool) {
	return t.confirmedAt + t.params.ValidFor, t.confirmed && t.InView()
}
