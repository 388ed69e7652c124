package routing

import (
	"math/bits"
	"time"
)

// load counts the usable and the free slots of a set of backend servers.
type load struct{ usable, free int }

func (l *load) add(b *backend) {
	l.usable += bits.OnesCount64(b.worker.Usable())
	l.free += bits.OnesCount64(b.worker.Free())
}

// spill decides whether a pool uses other availability zones as much as its
// own. It starts to when a request finds no local slot, and stops when the
// local slots have had room for some time; in between it does not alternate.
type spill struct {
	options SpillOptions
	active  bool
	calm    time.Time // Since when the local slots have had room, or zero.
	changes int       // Number of changes of active.
}

// update records the local load at a choice, and whether a request left the
// zone for lack of a local slot.
func (s *spill) update(now time.Time, local load, left bool) {
	if !s.active {
		if left {
			s.set(true)
		}
		return
	}
	if local.usable == 0 || float64(local.free) < s.options.CalmShare*float64(local.usable) {
		s.calm = time.Time{}
		return
	}
	if s.calm.IsZero() {
		s.calm = now
	}
	if now.Sub(s.calm) >= s.options.CalmTime {
		s.set(false)
	}
}

func (s *spill) set(active bool) {
	s.active, s.calm = active, time.Time{}
	s.changes++
}
