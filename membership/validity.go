package membership

import (
	"slices"
	"time"
)

// ReadStore takes in a successful read of the members row. It confirms the view
// from the moment at which the read was started.
func (t *Tracker) ReadStore(now time.Duration, read StoreRead) {
	t.SetView(now, read.View)
	if read.View.Version == t.view.Version && t.InView() {
		t.confirm(read.Started)
	}
}

// confirmByPeers confirms the view from the moment since which a majority of
// its members, this process included, have acknowledged a heartbeat while
// holding the same view and no newer fleet revision than this process.
func (t *Tracker) confirmByPeers(now time.Duration) {
	if !t.InView() {
		return
	}
	times := []time.Duration{now} // This process itself.
	for who, r := range t.reports {
		if who != t.self && r.acknowledged && r.ack.ViewVersion == t.view.Version && r.ack.FleetRevision <= t.revision {
			times = append(times, r.sentAt)
		}
	}
	needed := majority(len(t.view.Members))
	if len(times) < needed {
		return
	}
	slices.Sort(times)
	t.confirm(times[len(times)-needed])
}

func (t *Tracker) confirm(at time.Duration) {
	if !t.confirmed || at > t.confirmedAt {
		t.confirmed, t.confirmedAt = true, at
	}
}

// Valid reports whether the view of this process is valid: whether it was
// confirmed within ValidFor.
func (t *Tracker) Valid(now time.Duration) bool {
	until, ok := t.ValidUntil()
	return ok && now < until
}

// ValidUntil returns the time at which validity ends unless it is confirmed
// again. It returns false when the view was never confirmed.
func (t *Tracker) ValidUntil() (time.Duration, bool) {
	return t.confirmedAt + t.params.ValidFor, t.confirmed && t.InView()
}
