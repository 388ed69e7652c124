package entry

import (
	"context"
	"time"

	"peridotcrank.dev/claims"
	"peridotcrank.dev/control"
	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/routing"
)

// watchInterval is the time between two looks at the state. An event of the
// watch is late by at most this time.
const watchInterval = time.Second

// watcher turns changes of state into events and gauges. It compares the state
// with the one of its last look, so that a condition that lasts is one event.
type watcher struct {
	process *Process
	claims  claims.Stats
	pools   map[fleet.PoolID]routing.PoolStatus
	plans   map[fleet.PlanID]fleet.Plan
	leaving map[fleet.VMID]bool
	ready   bool
	started bool   // The process has been ready before.
	breaker bool   // The circuit breaker is open.
	refused uint64 // Sessions of peers refused.
	lead    uint64 // Timestamps that the clock has ignored.
	noPool  map[fleet.ServiceName]bool
}

func newWatcher(p *Process) *watcher {
	return &watcher{
		process: p, pools: make(map[fleet.PoolID]routing.PoolStatus), plans: make(map[fleet.PlanID]fleet.Plan),
		leaving: make(map[fleet.VMID]bool),
	}
}

// run looks at intervals until ctx ends.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.look()
		}
	}
}

func (w *watcher) look() {
	w.gauges()
	w.readiness()
	w.claimEvents(w.process.claims.Stats())
	w.poolEvents(w.process.router.Status())
	state := w.process.controller.State()
	w.planEvents(state.Fleet)
	w.leavingEvents(state.Fleet)
	if n := w.process.log.Clock().Rejected(); n != w.lead {
		w.record(eventlog.ClockLeadIgnored, eventlog.Fields{"count": n - w.lead})
		w.lead = n
	}
	w.connectionEvents()
	w.serviceEvents(state)
	w.process.budgets.look(w.process.log, state.Config)
	w.process.summaries.flush(w.process.log)
}

// connectionEvents records changes of the circuit breaker and refused sessions.
func (w *watcher) connectionEvents() {
	if open := !w.process.table.Reachable(); open != w.breaker {
		w.breaker = open
		code := eventlog.BreakerClosed
		if open {
			code = eventlog.BreakerOpened
		}
		w.record(code, nil)
	}
	if n := w.process.node.Stats().SessionsRefused; n != w.refused {
		w.record(eventlog.PeerRefused, eventlog.Fields{"count": n - w.refused})
		w.refused = n
	}
}

// serviceEvents records services whose pool does not exist.
func (w *watcher) serviceEvents(state *control.State) {
	now := make(map[fleet.ServiceName]bool)
	for _, service := range state.Config.Services {
		if _, ok := state.Fleet.Pools[service.Pool]; ok {
			continue
		}
		now[service.Name] = true
		if !w.noPool[service.Name] {
			w.record(eventlog.ConfigServiceWithoutPool, eventlog.Fields{"service": service.Name, "pool": service.Pool})
		}
	}
	w.noPool = now
}

func (w *watcher) record(code eventlog.Code, fields eventlog.Fields) {
	w.process.log.Record(code, fields)
}

func (w *watcher) gauges() {
	state, m := w.process.controller.State(), w.process.metrics
	m.SetConfigVersion(state.Config.Version)
	m.SetFleetRevision(state.Fleet.Revision)
	m.SetViewValid(w.process.controller.Valid())
}

func (w *watcher) readiness() {
	now := w.process.gateway.Ready()
	if now == w.ready {
		return
	}
	w.ready = now
	code := eventlog.GatewayNotReady
	if now {
		code = eventlog.GatewayReady
		if !w.started {
			w.started = true
			w.record(eventlog.ProcessReady, nil)
		}
	}
	w.record(code, nil)
}

func (w *watcher) claimEvents(now claims.Stats) {
	before := w.claims
	w.claims = now
	switch {
	case now.Recovering && !before.Recovering:
		w.record(eventlog.ClaimRecoveryStarted, nil)
	case !now.Recovering && before.Recovering:
		w.record(eventlog.ClaimRecoveryDone, eventlog.Fields{"records": now.Records})
	}
	if now.UncertainFor > 0 && before.UncertainFor == 0 {
		w.record(eventlog.ClaimsPossiblyLost, eventlog.Fields{"unsure_for_ms": now.UncertainFor.Milliseconds()})
	}
}

func (w *watcher) poolEvents(now []routing.PoolStatus) {
	pools := make(map[fleet.PoolID]routing.PoolStatus, len(now))
	for _, status := range now {
		w.process.metrics.Queue(status.Pool).Set(int64(status.Waiting))
		w.poolChange(w.pools[status.Pool], status)
		pools[status.Pool] = status
	}
	w.pools = pools
}

func (w *watcher) poolChange(before, now routing.PoolStatus) {
	if atEjectionLimit(now) && !atEjectionLimit(before) {
		w.record(eventlog.EjectionLimit, eventlog.Fields{"pool": now.Pool, "ejected": now.Ejected})
	}
	if now.Borrowed > 0 && before.Borrowed == 0 {
		w.record(eventlog.SlotsBorrowed, eventlog.Fields{"pool": now.Pool, "slots": now.Borrowed})
	}
	if now.Backends == 0 && before.Backends > 0 {
		w.record(eventlog.PoolWithoutBackends, eventlog.Fields{"pool": now.Pool})
	}
}

// atEjectionLimit reports that one more ejection would take more than half of the pool.
func atEjectionLimit(s routing.PoolStatus) bool {
	return s.Ejected > 0 && 2*(s.Ejected+1) > s.Backends
}

var routingCodes = map[routing.EventKind]eventlog.Code{
	routing.EventEjected:  eventlog.BackendEjected,
	routing.EventRestored: eventlog.BackendReturned,
	routing.EventSpill:    eventlog.SpillStarted,
	routing.EventLocal:    eventlog.SpillEnded,
}

// recordRouting records a decision of the router.
func (p *Process) recordRouting(e routing.Event) {
	fields := eventlog.Fields{"pool": e.Pool}
	if e.VM != "" {
		fields["vm"] = e.VM
	}
	if e.Kind == routing.EventEjected {
		fields["refusals"], fields["error_rate"], fields["until"] = e.Refusals, e.Rate, e.Until
	}
	p.log.Record(routingCodes[e.Kind], fields)
}

// planEvents records the end of plans that this process drove.
func (w *watcher) planEvents(s *fleet.Snapshot) {
	for id, plan := range s.Plans {
		before, known := w.plans[id]
		if !known || before.State == plan.State || before.Driver != w.process.settings.Member {
			continue
		}
		switch plan.State {
		case fleet.PlanDone:
			w.record(eventlog.PlanDone, eventlog.Fields{"plan": id, "moves": len(plan.Moves)})
		case fleet.PlanBlocked:
			w.record(eventlog.PlanBlocked, eventlog.Fields{"plan": id, "reason": plan.Reason})
		}
	}
	w.plans = s.Plans
}

func (w *watcher) leavingEvents(s *fleet.Snapshot) {
	now := make(map[fleet.VMID]bool)
	for id, vm := range s.VMs {
		if !vm.Leaving {
			continue
		}
		now[id] = true
		if !w.leaving[id] {
			w.record(eventlog.VMLeaving, eventlog.Fields{"vm": id, "pool": vm.Pool})
		}
	}
	w.leaving = now
}
