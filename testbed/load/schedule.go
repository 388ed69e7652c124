package load

import (
	"math/rand/v2"
	"time"

	"peridotcrank.dev/testbed/site"
)

// arrival is the intended start of one request to a service.
type arrival struct {
	at      time.Duration // Since the start of the run.
	service string
}

// phase is a period with a constant request rate for each service.
type phase struct {
	length time.Duration
	rates  map[string]float64 // Requests a second by service.
}

// surgePhases returns one phase for each service, in which this service surges for the given
// length and all others receive their quiet load.
func surgePhases(s site.Site, serviceTime, surge time.Duration, scale float64) []phase {
	var phases []phase
	for _, surging := range s.Pools {
		if surging.ID == s.Spare {
			continue
		}
		rates := make(map[string]float64)
		for _, pool := range s.Pools {
			if pool.ID == s.Spare {
				continue
			}
			peak := pool.CapacityRate(serviceTime) * site.SurgeToCapacity * scale
			rates[string(pool.ID)] = peak / site.SurgeToQuiet
			if pool.ID == surging.ID {
				rates[string(pool.ID)] = peak
			}
		}
		phases = append(phases, phase{length: surge, rates: rates})
	}
	return phases
}

// steadyPhases returns a single phase with the mean load of every service.
func steadyPhases(s site.Site, serviceTime, length time.Duration, scale float64) []phase {
	rates := make(map[string]float64)
	for _, pool := range s.Pools {
		if pool.ID != s.Spare {
			rates[string(pool.ID)] = pool.CapacityRate(serviceTime) * site.SurgeToCapacity * scale / site.SurgeToMean
		}
	}
	return []phase{{length: length, rates: rates}}
}

// drawArrivals returns the arrivals of all services, ordered by time. The arrivals of each
// service are a Poisson process.
func drawArrivals(phases []phase, services []string, rng *rand.Rand) []arrival {
	var arrivals []arrival
	var start time.Duration
	for _, p := range phases {
		next := make([]time.Duration, len(services))
		for i, service := range services {
			next[i] = start + exponentialInterval(rng, p.rates[service])
		}
		for {
			earliest := 0
			for i := range next {
				if next[i] < next[earliest] {
					earliest = i
				}
			}
			if next[earliest] >= start+p.length {
				break
			}
			arrivals = append(arrivals, arrival{at: next[earliest], service: services[earliest]})
			next[earliest] += exponentialInterval(rng, p.rates[services[earliest]])
		}
		start += p.length
	}
	return arrivals
}

func exponentialInterval(rng *rand.Rand, rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}
