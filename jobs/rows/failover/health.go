package failover

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// refusedFor is how long calls begin at another process after one showed that
	// the store serves it and not this process.
	refusedFor = time.Second
	// relayPause is the time from a try through another process that failed to the
	// next one. It doubles with each failure up to mostRelayPause, so that the tries
	// do not press a store that serves nobody.
	relayPause     = 100 * time.Millisecond
	mostRelayPause = 1600 * time.Millisecond
	// mostSilent is the number of calls in a row answered through another process
	// while the own way was silent, from which calls begin there.
	mostSilent = 2
	// Second tries may add triesShare to the calls, and triesSaved at once.
	triesShare = 0.2
	triesSaved = 8
)

// health is what is known of the ways to the store.
type health struct {
	mu           sync.Mutex
	refusedUntil time.Time // Until when calls begin at another process.
	silent       int       // Calls in a row answered through another process while the own way was silent.
	relayAfter   time.Time // When another process may be tried again.
	pause        time.Duration
	tries        float64 // Second tries that may be made.
}

func (h *health) called() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tries = min(h.tries+triesShare, triesSaved)
}

// takeTry reports whether a further try of a call that waits may be made.
func (h *health) takeTry() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tries < 1 {
		return false
	}
	h.tries--
	return true
}

// returnTries gives back the further tries of a call of which one was answered before
// those that it followed: they did not press a store that is merely slow.
func (h *health) returnTries(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tries = min(h.tries+float64(n), triesSaved)
}

func (h *health) isRefused(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.refusedUntil)
}

func (h *health) mayRelay(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !now.Before(h.relayAfter)
}

// outcome is what a try shows.
type outcome struct {
	way      way
	answered bool
	// ownFailed and ownSilent say that the own way failed in the same call, or has
	// left it without an answer until now.
	ownFailed, ownSilent bool
}

// note takes the outcome of a try. It reports whether that changed where calls begin.
func (h *health) note(o outcome, now time.Time) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	refused := now.Before(h.refusedUntil)
	switch {
	case o.way == own && o.answered:
		h.silent, h.refusedUntil = 0, time.Time{}
	case o.way == relayed && o.answered:
		h.pause, h.relayAfter = 0, time.Time{}
		if o.ownSilent {
			h.silent++
		}
		if o.ownFailed || h.silent >= mostSilent {
			h.refusedUntil = now.Add(refusedFor)
		}
	case o.way == relayed:
		h.pause = min(max(2*h.pause, relayPause), mostRelayPause)
		h.relayAfter = now.Add(h.pause/2 + rand.N(h.pause))
		h.refusedUntil = time.Time{}
	}
	return refused != now.Before(h.refusedUntil)
}
