package routing

import (
	"math/bits"
	"time"
)

// load counts the local slots that this process is allowed to use and the slots
// that its requests hold in the whole pool.
type load struct{ localUsable, busy int }

func (l *load) add(b *backend) {
	if b.zoneLocal {
		l.localUsable += bits.OnesCount64(b.worker.Usable())
	}
	l.busy += bits.OnesCount64(b.worker.Busy())
}

// spill decides whether a pool uses other availability zones as much as its own.
// Spilling starts when a request finds no local slot. It stops when the local
// slots could have carried the load of the whole pool for MinFreeTime. The load of
// the local slots alone is no criterion: spilling lowers it, so the pool would
// alternate between the two states.
type spill struct {
	options   SpillOptions
	active    bool
	freeSince time.Time // Start of the time in which MinFreeShare is met, or zero.
}

// update is called with each choice of a backend server. leftZone tells that the
// request goes to another zone because no local slot was available.
func (s *spill) update(now time.Time, l load, leftZone bool) {
	if !s.active {
		if leftZone {
			s.setActive(true)
		}
		return
	}
	if l.localUsable == 0 || float64(l.localUsable-l.busy) < s.options.MinFreeShare*float64(l.localUsable) {
		s.freeSince = time.Time{}
		return
	}
	if s.freeSince.IsZero() {
		s.freeSince = now
	}
	if now.Sub(s.freeSince) >= s.options.MinFreeTime {
		s.setActive(false)
	}
}

func (s *spill) setActive(active bool) {
	s.active, s.freeSince = active, time.Time{}
}
