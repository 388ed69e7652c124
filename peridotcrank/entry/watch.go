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

// pollInterval is the time between two polls of the state. Events of the watcher
// are recorded at most this time late.
const pollInterval = time.Second

// watcher polls the state of the process, updates gauges and records changes as
// events. It compares the state with that of the previous poll, so that a lasting
// condition is recorded as one event.
type watcher struct {
	process             *Process
	claims              claims.Stats
	pools               map[fleet.PoolID]routing.PoolStatus
	plans               map[fleet.PlanID]fleet.Plan
	leavingVMs          map[fleet.VMID]bool
	ready               bool
	everReady           bool   // The process was ready at least once.
	breakerOpen         bool   // The circuit breaker of the table service is open.
	refusedSessions     uint64 // Number of refused sessions of peers.
	ignoredTimestamps   uint64 // Number of timestamps that the clock ignored.
	servicesWithoutPool map[fleet.ServiceName]bool
}

func newWatcher(p *Process) *watcher {
	return &watcher{
		process: p, pools: make(map[fleet.PoolID]routing.PoolStatus), plans: make(map[fleet.PlanID]fleet.Plan),
		leavingVMs: make(map[fleet.VMID]bool),
	}
}

// run polls at intervals until ctx ends.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.poll()
		}
	}
}

func (w *watcher) poll() {
	w.updateGauges()
	w.recordReadiness()
	w.recordClaims(w.process.claims.Stats())
	w.recordPools(w.process.router.Status())
	state := w.process.controller.State()
	w.recordPlans(state.Fleet)
	w.recordLeavingVMs(state.Fleet)
	if n := w.process.log.Clock().Rejected(); n != w.ignoredTimestamps {
		w.record(eventlog.ClockLeadIgnored, eventlog.Fields{"count": n - w.ignoredTimestamps})
		w.ignoredTimestamps = n
	}
	w.recordConnections()
	w.recordServicesWithoutPool(state)
	w.process.budgets.evaluate(w.process.log, state.Config)
	w.process.summaries.flush(w.process.log)
}

// recordConnections records changes of the circuit breaker and refused sessions.
func (w *watcher) recordConnections() {
	if open := !w.process.table.Reachable(); open != w.breakerOpen {
		w.breakerOpen = open
		code := eventlog.BreakerClosed
		if open {
			code = eventlog.BreakerOpened
		}
		w.record(code, nil)
	}
	if n := w.process.node.Stats().SessionsRefused; n != w.refusedSessions {
		w.record(eventlog.PeerRefused, eventlog.Fields{"count": n - w.refusedSessions})
		w.refusedSessions = n
	}
}

// recordServicesWithoutPool records services whose pool does not exist.
func (w *watcher) recordServicesWithoutPool(state *control.State) {
	now := make(map[fleet.ServiceName]bool)
	for _, service := range state.Config.Services {
		if _, ok := state.Fleet.Pools[service.Pool]; ok {
			continue
		}
		now[service.Name] = true
		if !w.servicesWithoutPool[service.Name] {
			w.record(eventlog.ConfigServiceWithoutPool, eventlog.Fields{"service": service.Name, "pool": service.Pool})
		}
	}
	w.servicesWithoutPool = now
}

func (w *watcher) record(code eventlog.Code, fields eventlog.Fields) {
	w.process.log.Record(code, fields)
}

func (w *watcher) updateGauges() {
	state, m := w.process.controller.State(), w.process.metrics
	m.SetConfigVersion(state.Config.Version)
	m.SetFleetRevision(state.Fleet.Revision)
	m.SetViewValid(w.process.controller.Valid())
}

func (w *watcher) recordReadiness() {
	now := w.process.gateway.Ready()
	if now == w.ready {
		return
	}
	w.ready = now
	code := eventlog.GatewayNotReady
	if now {
		code = eventlog.GatewayReady
		if !w.everReady {
			w.everReady = true
			w.record(eventlog.ProcessReady, nil)
		}
	}
	w.record(code, nil)
}

func (w *watcher) recordClaims(now claims.Stats) {
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

func (w *watcher) recordPools(now []routing.PoolStatus) {
	pools := make(map[fleet.PoolID]routing.PoolStatus, len(now))
	for _, status := range now {
		w.process.metrics.Queue(status.Pool).Set(int64(status.Waiting))
		w.recordPoolChange(w.pools[status.Pool], status)
		pools[status.Pool] = status
	}
	w.pools = pools
}

func (w *watcher) recordPoolChange(before, now routing.PoolStatus) {
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

// atEjectionLimit reports whether one more ejection would exceed half of the pool.
func atEjectionLimit(s routing.PoolStatus) bool {
	return s.Ejected > 0 && 2*(s.Ejected+1) > s.Backends
}

var routingCodes = map[routing.EventKind]eventlog.Code{
	routing.EventEjected:  eventlog.BackendEjected,
	routing.EventRestored: eventlog.BackendReturned,
	routing.EventSpill:    eventlog.SpillStarted,
	routing.EventLocal:    eventlog.SpillEnded,
}

// recordRouting records an event of the router.
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

// recordPlans records an event for each plan that became done or blocked while
// this process drove it.
func (w *watcher) recordPlans(s *fleet.Snapshot) {
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

func (w *watcher) recordLeavingVMs(s *fleet.Snapshot) {
	now := make(map[fleet.VMID]bool)
	for id, vm := range s.VMs {
		if !vm.Leaving {
			continue
		}
		now[id] = true
		if !w.leavingVMs[id] {
			w.record(eventlog.VMLeaving, eventlog.Fields{"vm": id, "pool": vm.Pool})
		}
	}
	w.leavingVMs = now
}
