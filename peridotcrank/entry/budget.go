package entry

import (
	"sync"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
)

const (
	// budgetWindow is the number of intervals of one second over which the burn
	// rate of an availability budget is computed.
	budgetWindow = 60
	// burnRateLimit is the burn rate above which a budget is at risk: at ten
	// times the permitted rate, a month's budget is consumed in three days.
	burnRateLimit = 10
	// minBudgetFailures is the minimum number of failures for the alarm, so that
	// single failures at low load do not raise it.
	minBudgetFailures = 10
)

// budgets computes the burn rates of the availability budgets of the services.
type budgets struct {
	mu       sync.Mutex
	services map[fleet.ServiceName]*budget
}

type budget struct {
	current requestCounts
	window  [budgetWindow]requestCounts
	next    int
	atRisk  bool
}

// requestCounts holds the numbers of all requests and of failed ones.
type requestCounts struct{ total, failed int }

func newBudgets() *budgets { return &budgets{services: make(map[fleet.ServiceName]*budget)} }

// countRequest counts a request of a service in the current interval.
func (b *budgets) countRequest(service fleet.ServiceName, succeeded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		s = &budget{}
		b.services[service] = s
	}
	s.current.total++
	if !succeeded {
		s.current.failed++
	}
}

// evaluate ends an interval and records an event for each service whose budget
// is newly at risk.
func (b *budgets) evaluate(log eventlog.Recorder, config *fleet.Configuration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, service := range config.Services {
		s := b.services[service.Name]
		if s == nil {
			continue
		}
		sum := s.advance()
		rate := sum.burnRate(service.AvailabilityTarget)
		atRisk := sum.failed >= minBudgetFailures && rate > burnRateLimit
		if atRisk && !s.atRisk {
			log.Record(eventlog.AvailabilityAtRisk, eventlog.Fields{
				"service": service.Name, "requests": sum.total, "failed": sum.failed, "burn_rate": rate,
			})
		}
		s.atRisk = atRisk
	}
}

// advance moves the counts of the current interval into the window and returns
// the sum of the window.
func (s *budget) advance() requestCounts {
	s.window[s.next] = s.current
	s.next = (s.next + 1) % budgetWindow
	s.current = requestCounts{}
	var sum requestCounts
	for _, t := range s.window {
		sum.total += t.total
		sum.failed += t.failed
	}
	return sum
}

// burnRate returns the fraction of failed requests as a multiple of the
// permitted fraction, which is 1 - target.
func (t requestCounts) burnRate(target float64) float64 {
	if t.total == 0 || target >= 1 {
		return 0
	}
	return float64(t.failed) / float64(t.total) / (1 - target)
}
