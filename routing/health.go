package routing

import (
	"math"
	"slices"
	"time"
)

// Parameters of the error rate of a backend server.
const (
	// errorRateSmoothing is the weight of the latest attempt in the error rate.
	// Five failures in a row raise the rate from 0 to 0.67.
	errorRateSmoothing = 0.2
	// suspectErrorRate is the error rate above which a backend server is suspect:
	// it is not ejected, but others are preferred. Two failures in a row exceed
	// it.
	suspectErrorRate = 0.3
	// suspectDuration is the time for which a backend server stays suspect.
	suspectDuration = 2 * time.Second
)

// health is the error history of one backend server.
type health struct {
	errorRate    float64 // Share of failed attempts, weighted by age.
	samples      int
	refusals     int // Consecutive attempts without a written byte.
	suspectUntil time.Time
	ejectedUntil time.Time
	ejections    int // Consecutive ejections; each doubles the duration of the next.
	// maxConcurrent limits the concurrent requests after an ejection. It grows
	// by one with each answer that is not a server error; 0 means no limit.
	maxConcurrent int
}

// ejected reports whether the backend server is ejected and gets no requests.
func (h *health) ejected(now time.Time) bool {
	return !h.ejectedUntil.IsZero() && now.Before(h.ejectedUntil)
}

// admits reports whether one more request is allowed while busy requests run.
func (h *health) admits(now time.Time, busy int) bool {
	return !h.ejected(now) && (h.maxConcurrent == 0 || busy < h.maxConcurrent)
}

// suspect reports whether other backend servers are preferred because of recent
// failures.
func (h *health) suspect(now time.Time) bool {
	return !h.suspectUntil.IsZero() && now.Before(h.suspectUntil)
}

// recordResult updates the health with the result of an attempt. The backend
// server must not be ejected.
func (h *health) recordResult(now time.Time, result Result, slots int) {
	failed := 0.0
	if result != ResultAnswered {
		failed = 1
	}
	h.samples++
	h.errorRate += errorRateSmoothing * (failed - h.errorRate)
	if result == ResultNotWritten {
		h.refusals++
	} else {
		h.refusals = 0
	}
	if failed > 0 && h.errorRate > suspectErrorRate {
		h.suspectUntil = now.Add(suspectDuration)
	}
	if failed == 0 && h.maxConcurrent > 0 {
		if h.maxConcurrent++; h.maxConcurrent >= slots {
			h.maxConcurrent = 0
		}
	}
}

// eject starts an ejection. Afterwards the backend server is limited to one
// concurrent request. The count of consecutive ejections starts anew when the
// last one ended more than the maximum duration ago.
func (h *health) eject(now time.Time, o EjectionOptions) {
	if now.Sub(h.ejectedUntil) > o.MaxDuration {
		h.ejections = 0
	}
	length := o.MaxDuration
	if shift := min(h.ejections, 16); o.BaseDuration<<shift < o.MaxDuration {
		length = o.BaseDuration << shift
	}
	*h = health{ejectedUntil: now.Add(length), ejections: h.ejections + 1, maxConcurrent: 1}
}

// ejectIfFailing is called after a failed attempt. It ejects the backend server if
// it is on probation, has reached the limit of refusals or has too high an error
// rate, unless more than half of the pool would then be ejected.
func (p *pool) ejectIfFailing(now time.Time, b *backend, o EjectionOptions) {
	h := &b.health
	probation := h.maxConcurrent > 0
	refused := h.refusals >= o.Refusals
	failing := h.samples >= o.MinSamples && h.errorRate > o.ErrorRate && h.errorRate > 2*p.meanErrorRate(b)
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

// hasHealthy reports whether any backend server of the pool is neither ejected
// nor suspect. It includes backend servers of which this process has no slot.
func (p *pool) hasHealthy(now time.Time) bool {
	return slices.ContainsFunc(p.backends, func(b *backend) bool {
		return !b.health.ejected(now) && !b.health.suspect(now)
	})
}

// meanErrorRate returns the mean error rate of the other backend servers that
// have been tried. It corrects each rate for its start at 0, so that a fault
// common to all of them is visible after the first attempts on each.
func (p *pool) meanErrorRate(b *backend) float64 {
	sum, tried := 0.0, 0
	for _, other := range p.backends {
		if h := &other.health; other != b && h.samples > 0 {
			sum += h.errorRate / (1 - math.Pow(1-errorRateSmoothing, float64(h.samples)))
			tried++
		}
	}
	return sum / float64(max(tried, 1))
}
