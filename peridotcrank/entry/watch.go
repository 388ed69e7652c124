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
	pools   map[fleet.PoolID]routing.PoolStats
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
		process: p, pools: make(map[fleet.PoolID]routing.PoolStats), plans: make(map[fleet.PlanID]fleet.Plan),
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
	w.poolEvents(w.process.router.Stats())
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
			w.record(eventlog.ConfigServiceNoPool, eventlog.Fields{"service": service.Name, "pool": service.Pool})
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
	if now.UnsureFor > 0 && before.UnsureFor == 0 {
		w.record(eventlog.ClaimsPossiblyLost, eventlog.Fields{"unsure_for_ms": now.UnsureFor.Milliseconds()})
	}
}

func (w *watcher) poolEvents(now map[fleet.PoolID]routing.PoolStats) {
	for id, stats := range now {
		w.process.metrics.Queue(id).Set(int64(stats.Waiting))
		w.poolChange(id, w.pools[id], stats)
	}
	w.pools = now
}

func (w *watcher) poolChange(id fleet.PoolID, before, now routing.PoolStats) {
	for _, vm := range missing(now.Ejected, before.Ejected) {
		w.record(eventlog.BackendEjected, eventlog.Fields{"pool": id, "vm": vm})
	}
	for _, vm := range missing(before.Ejected, now.Ejected) {
		w.record(eventlog.BackendReturned, eventlog.Fields{"pool": id, "vm": vm})
	}
	if now.EjectionLimit && !before.EjectionLimit {
		w.record(eventlog.EjectionLimit, eventlog.Fields{"pool": id, "ejected": len(now.Ejected)})
	}
	if now.Spilled != before.Spilled {
		code := eventlog.SpillEnded
		if now.Spilled {
			code = eventlog.SpillStarted
		}
		w.record(code, eventlog.Fields{"pool": id})
	}
	if now.Borrowed > 0 && before.Borrowed == 0 {
		w.record(eventlog.SlotsBorrowed, eventlog.Fields{"pool": id, "slots": now.Borrowed})
	}
	if now.Routable == 0 && before.Routable > 0 {
		w.record(eventlog.PoolWithoutBackends, eventlog.Fields{"pool": id})
	}
}

// missing returns the members of a that b does not hold.
func missing(a, b []fleet.VMID) []fleet.VMID {
	held := make(map[fleet.VMID]bool, len(b))
	for _, id := range b {
		held[id] = true
	}
	var list []fleet.VMID
	for _, id := range a {
		if !held[id] {
			list = append(list, id)
		}
	}
	return list
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
