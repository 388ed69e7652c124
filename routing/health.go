package routing

import (
	"math"
	"slices"
	"time"
)

// Constants of the error rate of a backend server.
const (
	// rateSmoothing is the weight of the latest attempt: five failures in a
	// row raise the rate from 0 to 0.67.
	rateSmoothing = 0.2
	// suspectRate is the rate above which other backend servers are preferred
	// before an ejection. Two failures in a row reach it.
	suspectRate = 0.3
	// suspectTime is the time for which a suspect is passed over.
	suspectTime = 2 * time.Second
)

// health is the record of one backend server's attempts.
type health struct {
	rate         float64 // Weighted share of failed attempts.
	samples      int
	refusals     int // Consecutive attempts without a written byte.
	suspectUntil time.Time
	ejectedUntil time.Time
	ejections    int // Consecutive ejections; each doubles the next one.
	// allowed is the number of concurrent requests after an ejection. It grows
	// by one with each answer; 0 means no limit.
	allowed int
}

// ejected reports whether the backend server gets no requests.
func (h *health) ejected(now time.Time) bool {
	return !h.ejectedUntil.IsZero() && now.Before(h.ejectedUntil)
}

// admits reports whether one more request may be sent while busy others run.
func (h *health) admits(now time.Time, busy int) bool {
	return !h.ejected(now) && (h.allowed == 0 || busy < h.allowed)
}

// suspect reports whether other backend servers are preferred.
func (h *health) suspect(now time.Time) bool {
	return !h.suspectUntil.IsZero() && now.Before(h.suspectUntil)
}

// observe records an attempt that was started while the backend server was not
// ejected.
func (h *health) observe(now time.Time, r Result, slots int) {
	failed := 0.0
	if r != ResultAnswered {
		failed = 1
	}
	h.samples++
	h.rate += rateSmoothing * (failed - h.rate)
	if r == ResultNotWritten {
		h.refusals++
	} else {
		h.refusals = 0
	}
	if failed > 0 && h.rate > suspectRate {
		h.suspectUntil = now.Add(suspectTime)
	}
	if failed == 0 && h.allowed > 0 {
		if h.allowed++; h.allowed >= slots {
			h.allowed = 0
		}
	}
}

// eject takes the backend server out of use and limits it to one concurrent
// request afterwards.
func (h *health) eject(now time.Time, o EjectionOptions) {
	if now.Sub(h.ejectedUntil) > o.Max {
		h.ejections = 0
	}
	length := o.Max
	if shift := min(h.ejections, 16); o.Base<<shift < o.Max {
		length = o.Base << shift
	}
	*h = health{ejectedUntil: now.Add(length), ejections: h.ejections + 1, allowed: 1}
}

// ejectIfFailing ejects a backend server of the pool after a failed attempt, unless
// half of the pool is ejected already.
func (p *pool) ejectIfFailing(now time.Time, b *backend, o EjectionOptions) {
	h := &b.health
	probation := h.allowed > 0
	refused := h.refusals >= o.Refusals
	failing := h.samples >= o.Samples && h.rate > o.Rate && h.rate > 2*p.meanRate(b)
	if !probation && !refused && !failing {
		return
	}
	ejected := 0
	for _, other := range p.backends {
		if other != b && other.health.ejected(now) {
			ejected++
		}
	}
	if 2*(ejected+1) <= len(p.backends) {
		h.eject(now, o)
	}
}

// hasSound reports whether a backend server of the pool is neither ejected nor
// suspect. This process may hold no slot of it.
func (p *pool) hasSound(now time.Time) bool {
	return slices.ContainsFunc(p.backends, func(b *backend) bool {
		return !b.health.ejected(now) && !b.health.suspect(now)
	})
}

// meanRate returns the mean error rate of the other backend servers that have
// been tried. Their rates are corrected for the start at 0, so that a fault
// that all share shows after the first attempts on each.
func (p *pool) meanRate(b *backend) float64 {
	sum, tried := 0.0, 0
	for _, other := range p.backends {
		if h := &other.health; other != b && h.samples > 0 {
			sum += h.rate / (1 - math.Pow(1-rateSmoothing, float64(h.samples)))
			tried++
		}
	}
	return sum / float64(max(tried, 1))
}
