package failover

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// relayPreferenceTime is how long calls start with the relayed route after an
	// attempt showed that the store serves another process but not this one.
	relayPreferenceTime = time.Second
	// minRelayBackoff is the mean time from a failed relayed attempt to the next one. It
	// doubles with each failure up to maxRelayBackoff, so that the attempts do not
	// overload a store that serves nobody.
	minRelayBackoff = 100 * time.Millisecond
	maxRelayBackoff = 1600 * time.Millisecond
	// silentCallLimit is the number of consecutive calls answered by the relayed route
	// while the direct one gave no reply, after which calls start with the relayed route.
	silentCallLimit = 2
	// Hedged attempts are limited to a share of hedgeRatio of the calls; up to hedgeBurst
	// unused ones accumulate.
	hedgeRatio = 0.2
	hedgeBurst = 8
)

// health tracks which routes to the store work, and the budget of hedged attempts.
type health struct {
	mu               sync.Mutex
	preferRelayUntil time.Time // Until then, calls start with the relayed route.
	silentCalls      int       // Consecutive calls answered by the relayed route while the direct one gave no reply.
	relayRetryAt     time.Time // Until then, the relayed route is not used.
	relayBackoff     time.Duration
	hedgeTokens      float64 // Number of hedged attempts allowed.
}

func (h *health) addHedgeTokens() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedgeTokens = min(h.hedgeTokens+hedgeRatio, hedgeBurst)
}

// takeHedgeToken consumes a token and reports whether a hedged attempt is allowed.
func (h *health) takeHedgeToken() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hedgeTokens < 1 {
		return false
	}
	h.hedgeTokens--
	return true
}

// returnHedgeTokens returns the n tokens of a call in which a later attempt was answered
// before an earlier one. Such hedged attempts were useful: the store lost replies rather
// than being slow, so they did not overload it.
func (h *health) returnHedgeTokens(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedgeTokens = min(h.hedgeTokens+float64(n), hedgeBurst)
}

func (h *health) prefersRelay(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.preferRelayUntil)
}

func (h *health) relayAllowed(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !now.Before(h.relayRetryAt)
}

// attemptOutcome describes a finished attempt and the state of the direct route in the
// same call.
type attemptOutcome struct {
	route    route
	answered bool
	// directFailed reports that the direct route failed in the same call, and
	// directSilent that it has been tried and has given no reply yet.
	directFailed, directSilent bool
}

// recordAttempt updates the health with the outcome of an attempt. It reports whether
// the route with which calls start has changed.
func (h *health) recordAttempt(o attemptOutcome, now time.Time) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	preferred := now.Before(h.preferRelayUntil)
	switch {
	case o.route == direct && o.answered:
		h.silentCalls, h.preferRelayUntil = 0, time.Time{}
	case o.route == relayed && o.answered:
		h.relayBackoff, h.relayRetryAt = 0, time.Time{}
		if o.directSilent {
			h.silentCalls++
		}
		if o.directFailed || h.silentCalls >= silentCallLimit {
			h.preferRelayUntil = now.Add(relayPreferenceTime)
		}
	case o.route == relayed:
		h.relayBackoff = min(max(2*h.relayBackoff, minRelayBackoff), maxRelayBackoff)
		h.relayRetryAt = now.Add(h.relayBackoff/2 + rand.N(h.relayBackoff))
		h.preferRelayUntil = time.Time{}
	}
	return preferred != now.Before(h.preferRelayUntil)
}
