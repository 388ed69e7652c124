package entry

import (
	"sync"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
)

const (
	// budgetWindow is the number of looks, one a second, over which the burn
	// rate of an availability budget is computed.
	budgetWindow = 60
	// burnRateLimit is the burn rate above which a budget is at risk: at ten
	// times the permitted rate a month's budget is spent in three days.
	burnRateLimit = 10
	// minBudgetFailures keeps single failures at low load from raising the alarm.
	minBudgetFailures = 10
)

// budgets computes the burn rates of the services' availability budgets.
type budgets struct {
	mu       sync.Mutex
	services map[fleet.ServiceName]*budget
}

type budget struct {
	current tally
	window  [budgetWindow]tally
	next    int
	atRisk  bool
}

// tally counts requests and those that were not answered well.
type tally struct{ total, failed int }

func newBudgets() *budgets { return &budgets{services: make(map[fleet.ServiceName]*budget)} }

func (b *budgets) count(service fleet.ServiceName, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		s = &budget{}
		b.services[service] = s
	}
	s.current.total++
	if !answered {
		s.current.failed++
	}
}

// look ends an interval and records services whose budget has come into risk.
func (b *budgets) look(log eventlog.Recorder, config *fleet.Configuration) {
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

// advance moves the current interval into the window and returns the sum of the window.
func (s *budget) advance() tally {
	s.window[s.next] = s.current
	s.next = (s.next + 1) % budgetWindow
	s.current = tally{}
	var sum tally
	for _, t := range s.window {
		sum.total += t.total
		sum.failed += t.failed
	}
	return sum
}

// burnRate returns the share of failed requests as a multiple of the permitted share.
func (t tally) burnRate(target float64) float64 {
	if t.total == 0 || target >= 1 {
		return 0
	}
	return float64(t.failed) / float64(t.total) / (1 - target)
}
