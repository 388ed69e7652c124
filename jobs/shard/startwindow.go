package shard

import "time"

const (
	// maxStartWindow bounds the start orders in flight. In a surge, replies take up to 0.1 s.
	maxStartWindow = 256
	// minStartWindow lets starts continue while workers do not reply.
	minStartWindow = 32
	// lateStartReply is the time to a reply from which the window shrinks.
	lateStartReply = orderTimeout * 3 / 4
	// startWindowGrowth is the growth of the window by one reply in time.
	startWindowGrowth = 0.125
)

// startWindow limits the start orders in flight by additive increase and multiplicative
// decrease. An owner that orders more starts than it has the processor time for sees no reply
// within the timeout, although the tasks run: it would order their stops and start them again,
// which takes more processor time.
type startWindow struct {
	size       float64
	inFlight   int
	lastShrunk time.Duration
	// waiting is set while tasks wait for room in the window.
	waiting bool
}

func newStartWindow() startWindow { return startWindow{size: maxStartWindow} }

// full reports whether no further start may be ordered now.
func (w *startWindow) full() bool { return w.inFlight >= int(w.size) }

// begin counts a start order.
func (w *startWindow) begin() { w.inFlight++ }

// end counts the reply to a start order, or its timeout, and reports whether the window
// shrank. It shrinks at most once per timeout, since the orders in flight then were sent
// before.
func (w *startWindow) end(took, now time.Duration) (shrank bool) {
	w.inFlight--
	if took < lateStartReply {
		w.size = min(w.size+startWindowGrowth, maxStartWindow)
		return false
	}
	if now-w.lastShrunk < orderTimeout || w.size == minStartWindow {
		return false
	}
	w.lastShrunk = now
	w.size = max(w.size/2, minStartWindow)
	return true
}

// takeRoom reports whether tasks wait for the window and a quarter of it is free, so that one
// placement pass serves several replies.
func (w *startWindow) takeRoom() bool {
	if !w.waiting || float64(w.inFlight) > 0.75*w.size {
		return false
	}
	w.waiting = false
	return true
}
