// Package bounds makes the limiters of a process's listeners, and counts and logs the connections
// that they close.
package bounds

import (
	"fmt"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/eventlog/metrics"
	"peridotcrank.dev/limits/inbound"
)

// NewLimiter returns a limiter for a listener. The connections that it closes or refuses are counted, and
// logged with at most one line per second and limit.
func NewLimiter(listener string, o inbound.Options, log eventlog.Recorder, m *metrics.Metrics) (*inbound.Limiter, error) {
	lines := eventlog.NewSampler(1)
	o.Closed = func(reason inbound.Reason) {
		m.CountClosedConnection(listener, string(reason))
		if leftOut, permitted := lines.Permit(string(reason), time.Now()); permitted {
			log.Record(eventlog.ConnectionsLimited, eventlog.Fields{"listener": listener, "limit": string(reason), "left_out": leftOut})
		}
	}
	limiter, err := inbound.NewLimiter(o)
	if err != nil {
		return nil, fmt.Errorf("bound the connections for %s: %w", listener, err)
	}
	return limiter, nil
}
