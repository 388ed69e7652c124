package entry

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
)

// codes is a recorder that stores the codes of events in order.
type codes []eventlog.Code

func (c *codes) Record(code eventlog.Code, _ eventlog.Fields) { *c = append(*c, code) }

// Guards against an alarm that is not raised, that is raised every second while
// the condition lasts, or that is raised by a single failure.
func TestBudgetAtRisk(t *testing.T) {
	config := &fleet.Configuration{Services: []fleet.Service{{Name: "orders", AvailabilityTarget: 0.999}}}
	b, log := newBudgets(), &codes{}
	runInterval := func(answered, failed int) {
		for range answered {
			b.countRequest("orders", true)
		}
		for range failed {
			b.countRequest("orders", false)
		}
		b.evaluate(log, config)
	}
	runInterval(100, 1)
	assert.Equal(t, len(*log), 0)
	runInterval(100, 20)
	runInterval(100, 20)
	assert.DeepEqual(t, *log, codes{eventlog.AvailabilityAtRisk})
	for range budgetWindow {
		runInterval(100, 0)
	}
	runInterval(0, 100)
	assert.Equal(t, len(*log), 2, "the condition ended in between")
}

// Guards against one log line per request while a fault lasts.
func TestSummariesAreOneEventPerCause(t *testing.T) {
	s, log := newSummaries(), &codes{}
	for range 1000 {
		s.add(eventlog.RequestsShed, "orders: queue-full", nil)
		s.add(eventlog.RequestOutcomeUnknown, "orders", errors.New("connection reset"))
	}
	s.flush(log)
	s.flush(log)
	assert.DeepEqual(t, *log, codes{eventlog.RequestOutcomeUnknown, eventlog.RequestsShed})
}
