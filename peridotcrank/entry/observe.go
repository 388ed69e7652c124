package entry

import (
	"context"
	"errors"
	"os"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/eventlog/metrics"
	"peridotcrank.dev/eventlog/wire"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/gateway"
	"peridotcrank.dev/peer"
	"peridotcrank.dev/routing"
	"peridotcrank.dev/settings"
)

// collectInterval is the time between updates of gauges that follow the control state.
const collectInterval = time.Second

func logOptions(s settings.Settings) eventlog.Options {
	return eventlog.Options{
		Process: string(s.Member), Writer: os.Stderr, Format: eventlog.Format(s.Log.Format), Capacity: s.Log.Timeline,
	}
}

var metricOutcomes = map[gateway.Outcome]metrics.Outcome{
	gateway.OutcomeNotRun:   metrics.OutcomeNotRun,
	gateway.OutcomeUnknown:  metrics.OutcomeUnknown,
	gateway.OutcomeAnswered: metrics.OutcomeBackendAnswered,
}

// observe counts a request that has ended.
func (p *Process) observe(o gateway.Observation) {
	service := o.Service
	if service == "" {
		service = metrics.ServiceNone
	}
	instruments := p.metrics.Service(service)
	instruments.Begin()
	instruments.End(metricOutcomes[o.Outcome], o.Duration)
	for range max(0, o.Attempts-1) {
		instruments.Retry()
	}
	var shed *routing.ShedError
	if errors.As(o.Err, &shed) {
		instruments.Shed(string(shed.Reason))
	}
	if o.Outcome == gateway.OutcomeUnknown {
		p.log.Record(eventlog.RequestUnknown, eventlog.Fields{
			"service": o.Service, "customer": o.Customer, "reason": o.Reason, "error": errorText(o.Err),
		})
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// controlTraffic returns the counts of the control messages of this process.
func (p *Process) controlTraffic() metrics.ControlTraffic {
	peers := p.node.Stats()
	platform := p.table.Traffic().Plus(p.platform.Traffic())
	return metrics.ControlTraffic{
		Peers: peers.Wire, Platform: platform.Totals,
		Control: classTraffic(peers.Control), Claims: classTraffic(peers.Claims),
		StoreReads: platform.Reads, StoreWrites: platform.Writes, VMLists: platform.Lists,
	}
}

func classTraffic(c peer.ClassStats) metrics.ClassTraffic {
	return metrics.ClassTraffic{
		Messages: wire.Totals{Sent: c.MessagesSent, Received: c.MessagesReceived},
		Bytes:    wire.Totals{Sent: c.BytesSent, Received: c.BytesReceived},
	}
}

// collect copies the control state into gauges until ctx ends.
func (p *Process) collect(ctx context.Context) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	ready := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		state := p.controller.State()
		p.metrics.SetConfigVersion(state.Config.Version)
		p.metrics.SetFleetRevision(state.Fleet.Revision)
		p.metrics.SetViewValid(p.controller.Valid())
		ready = p.recordReadiness(ready)
	}
}

func (p *Process) recordReadiness(before bool) bool {
	now := p.gateway.Ready()
	if now != before {
		code := eventlog.GatewayNotReady
		if now {
			code = eventlog.GatewayReady
		}
		p.log.Record(code, eventlog.Fields{"pools": len(poolsOf(p.controller.Configuration()))})
	}
	return now
}

func poolsOf(config *fleet.Configuration) map[fleet.PoolID]bool {
	pools := make(map[fleet.PoolID]bool)
	if config != nil {
		for _, s := range config.Services {
			pools[s.Pool] = true
		}
	}
	return pools
}
