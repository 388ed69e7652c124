package jobproc

import (
	"context"
	"fmt"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/cluster"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/jobpb"
	"peridotcrank.dev/jobs/maintenance"
	"peridotcrank.dev/jobs/shard"
	"peridotcrank.dev/jobs/worker"
	"peridotcrank.dev/platform"
)

// fleetShard is the shard whose owner moves and services VMs. Names of pools
// do not contain a slash.
const fleetShard = "fleet/machines"

func (p *Process) startFleet(fence uint64) {
	scope := p.newScope(fleetShard, fence)
	m, err := maintenance.New(maintenance.Options{
		Fence: fence, Loop: scope, Clock: p.clock.Now, Wall: time.Now,
		Orders: platform.NewMachines(p.live().Platform.Machines, string(p.live().Member)),
		Owners: owners{p}, Store: p.store, Recorder: p.log, HasRight: p.hasRight(fleetShard, fence),
		OwnerKey: cluster.OwnerKey(fleetShard), StatusRow: platform.WaveStatus,
		MoveTime: p.live().Timing.Move, UpkeepTime: p.live().Timing.Maintenance,
	})
	if err != nil {
		p.log.Record(eventlog.ShardLoadFailed, eventlog.Fields{"shard": fleetShard, "error": err})
		return
	}
	p.fleet = m
	p.updateFleet()
	scope.Do(m.Start)
}

// updateFleet hands the configuration to the manager of VMs.
func (p *Process) updateFleet() {
	if p.fleet == nil {
		return
	}
	p.scopes[fleetShard].Do(func() {
		p.fleet.SetPools(p.poolNames, p.spare)
		p.fleet.SetWaves(p.waves)
	})
}

func (p *Process) hasRight(name string, fence uint64) func() bool {
	return func() bool {
		current, ok := p.cluster.Fence(name)
		return ok && current == fence && p.cluster.HasLease()
	}
}

// owners asks the owners of pools through the forwarder.
type owners struct{ p *Process }

// Report implements [maintenance.Owners].
func (o owners) Report(ctx context.Context, pool string, orders maintenance.PoolOrders) (maintenance.Demand, error) {
	request := &jobpb.Request{
		Call: jobpb.Call_CALL_REPORT, Shard: pool, Workers: toNames(orders.Vacate), Ended: toNames(orders.Ended),
		Due: toNames(orders.Due),
	}
	answer := o.p.forward.Call(ctx, request)
	if answer.Code != jobpb.Code_CODE_OK || answer.Report == nil {
		return maintenance.Demand{}, fmt.Errorf("report of pool %s: %v", pool, answer.Code)
	}
	demand := maintenance.Demand{
		Used: fromAmount(answer.Report.Used), Waiting: fromAmount(answer.Report.Waiting), Late: fromAmount(answer.Report.Late),
		Arriving: fromAmount(answer.Report.Arriving), Workers: map[worker.ID]maintenance.Use{},
		Unaccounted: fromNames(answer.Report.Unaccounted),
	}
	for _, w := range answer.Report.Workers {
		demand.Workers[worker.ID(w.Id)] = maintenance.Use{Tasks: int(w.Tasks), Lasting: int(w.Lasting), Vacated: w.Vacated}
	}
	return demand, nil
}

func (p *Process) report(s *shard.Shard, request *jobpb.Request) *jobpb.Reply {
	r, ok := s.ApplyOrders(shard.Orders{Vacate: fromNames(request.Workers), Ended: fromNames(request.Ended), MaintenanceDue: fromNames(request.Due)})
	if !ok {
		return &jobpb.Reply{Code: jobpb.Code_CODE_REFUSED}
	}
	record := &jobpb.Report{
		Used: toAmount(r.Used), Waiting: toAmount(r.Waiting), Late: toAmount(r.Late), Arriving: toAmount(r.ArrivalRate),
		Unaccounted: toNames(r.Unaccounted),
	}
	for _, use := range r.Workers {
		record.Workers = append(record.Workers, &jobpb.WorkerUse{
			Id: string(use.ID), Tasks: int32(use.Tasks), Lasting: int32(use.LongRunningTasks), Vacated: use.Vacated,
		})
	}
	return &jobpb.Reply{Code: jobpb.Code_CODE_OK, Report: record}
}

func toNames(ids []worker.ID) (names []string) {
	for _, id := range ids {
		names = append(names, string(id))
	}
	return names
}

func fromNames(names []string) (ids []worker.ID) {
	for _, name := range names {
		ids = append(ids, worker.ID(name))
	}
	return ids
}

func toAmount(r job.Resources) *jobpb.Amount {
	return &jobpb.Amount{CpuMilli: r.CPU, MemoryMb: r.MemoryMB}
}

func fromAmount(a *jobpb.Amount) job.Resources {
	return job.Resources{CPU: a.GetCpuMilli(), MemoryMB: a.GetMemoryMb()}
}
