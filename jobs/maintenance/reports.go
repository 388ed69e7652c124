package maintenance

import (
	"context"
	"slices"
	"time"

	"peridotcrank.dev/jobs/worker"
)

const (
	reportTimeout = 400 * time.Millisecond
	// maxReportAge is the age up to which a report shows that a worker is vacated. A pool's
	// owner keeps a worker vacated for 1.5 s after an instruction.
	maxReportAge = time.Second
)

// requestReport sends instructions to a pool's owner and stores the demand that it
// reports. At most one request per pool is in flight.
func (m *Manager) requestReport(pool string) {
	if m.reportInFlight[pool] {
		return
	}
	m.reportInFlight[pool] = true
	sent := m.o.Clock()
	var vacate []worker.ID
	for _, op := range m.operations {
		if op.machine.Pool == pool && op.machine.Worker != "" && op.phase != awaitingReturn {
			vacate = append(vacate, op.machine.Worker)
		}
	}
	instructions := PoolInstructions{Vacate: vacate, Ended: m.endedWorkers(pool), MaintenanceDue: m.workersDue(pool)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		demand, err := m.o.PoolOwners.RequestReport(ctx, pool, instructions)
		m.o.Loop.Post(func() {
			m.reportInFlight[pool] = false
			if err != nil {
				delete(m.demands, pool) // Without a report nothing is decided for the pool.
				return
			}
			m.trackUnaccounted(pool, demand.Unaccounted)
			m.demands[pool], m.reportRequestedAt[pool] = demand, sent
		})
	}()
}

// trackUnaccounted records the time when a pool reports a new unaccounted worker.
func (m *Manager) trackUnaccounted(pool string, ids []worker.ID) {
	for _, id := range ids {
		if !slices.Contains(m.demands[pool].Unaccounted, id) {
			m.unaccountedAt[pool] = m.o.Clock()
			return
		}
	}
}

// endedWorkers returns the unaccounted workers of a pool that no VM runs any more,
// according to a list that was requested after the pool reported them. A worker
// corresponds to one incarnation of a VM.
func (m *Manager) endedWorkers(pool string) (ids []worker.ID) {
	unaccounted := m.demands[pool].Unaccounted
	if len(unaccounted) == 0 || m.listRequestedAt < m.unaccountedAt[pool] || len(m.machines) == 0 {
		return nil
	}
	current := map[worker.ID]bool{}
	for i := range m.machines {
		current[m.machines[i].Worker] = true
	}
	for _, id := range unaccounted {
		if !current[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// workersDue returns the workers of a pool whose VMs still wait for maintenance.
func (m *Manager) workersDue(pool string) (ids []worker.ID) {
	waiting := map[string]bool{}
	for _, w := range m.waves {
		if !w.loaded || w.completed {
			continue
		}
		for _, name := range w.Machines {
			waiting[name] = waiting[name] || !w.done[name]
		}
	}
	for i := range m.machines {
		if v := &m.machines[i]; v.Pool == pool && v.Worker != "" && waiting[v.Name] {
			ids = append(ids, v.Worker)
		}
	}
	return ids
}
