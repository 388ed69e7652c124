package load

import (
	"math/rand/v2"
	"time"

	"peridotcrank.dev/testbed/site"
)

// arrival is the intended start of one request.
type arrival struct {
	at      time.Duration // Since the start of the run.
	service string
}

// Phase is a period with constant rates.
type phase struct {
	length time.Duration
	rates  map[string]float64 // Requests a second by service.
}

// surges returns phases in which each service surges in turn, with the given
// length of one surge. Between its surges a service has its quiet load.
func surges(s site.Site, serviceTime, surge time.Duration, scale float64) []phase {
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

// steady returns one phase with the mean load of every service.
func steady(s site.Site, serviceTime, length time.Duration, scale float64) []phase {
	rates := make(map[string]float64)
	for _, pool := range s.Pools {
		if pool.ID != s.Spare {
			rates[string(pool.ID)] = pool.CapacityRate(serviceTime) * site.SurgeToCapacity * scale / site.SurgeToMean
		}
	}
	return []phase{{length: length, rates: rates}}
}

// draw returns the arrivals of a Poisson process for each service, ordered by time.
func draw(phases []phase, services []string, rng *rand.Rand) []arrival {
	var arrivals []arrival
	var start time.Duration
	for _, p := range phases {
		next := make([]time.Duration, len(services))
		for i, service := range services {
			next[i] = start + exponential(rng, p.rates[service])
		}
		for {
			first := 0
			for i := range next {
				if next[i] < next[first] {
					first = i
				}
			}
			if next[first] >= start+p.length {
				break
			}
			arrivals = append(arrivals, arrival{at: next[first], service: services[first]})
			next[first] += exponential(rng, p.rates[services[first]])
		}
		start += p.length
	}
	return arrivals
}

func exponential(rng *rand.Rand, rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}
