package routing

import (
	"math/bits"
	"time"
)

// load counts the slots that this process may use in its own zone and the
// slots that it holds in the whole pool.
type load struct{ local, busy int }

func (l *load) add(b *backend) {
	if b.near {
		l.local += bits.OnesCount64(b.worker.Usable())
	}
	l.busy += bits.OnesCount64(b.worker.Busy())
}

// spill decides whether a pool uses other availability zones as much as its
// own. It starts to when a request finds no local slot, and stops when the
// local slots would have had room for the whole load for some time. The load
// of the local slots alone would not do: spilling lowers it, so that the pool
// would alternate.
type spill struct {
	options SpillOptions
	active  bool
	calm    time.Time // Since when the local slots would have had room, or zero.
}

// update records the load at a choice, and whether a request left the zone for
// lack of a local slot.
func (s *spill) update(now time.Time, l load, left bool) {
	if !s.active {
		if left {
			s.set(true)
		}
		return
	}
	if l.local == 0 || float64(l.local-l.busy) < s.options.CalmShare*float64(l.local) {
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
}
