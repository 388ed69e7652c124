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

// fleetShard is the name of the shard whose owner moves and services VMs. It cannot
// collide with a pool, because pool names contain no slash.
const fleetShard = "fleet/machines"

// startFleetManager starts the maintenance manager after this process acquired the
// fleet's shard.
func (p *Process) startFleetManager(fence uint64) {
	scope := p.newScope(fleetShard, fence)
	m, err := maintenance.New(maintenance.Options{
		Fence: fence, Loop: scope, Clock: p.clock.Now, WallClock: time.Now,
		MachineService: platform.NewMachines(p.currentSettings().Platform.Machines, string(p.currentSettings().Member)),
		PoolOwners:     poolOwners{p}, Store: p.store, Recorder: p.log, OwnsShard: p.ownershipCheck(fleetShard, fence),
		OwnerKey: cluster.OwnerKey(fleetShard), StatusRow: platform.WaveStatus,
		MoveDuration: p.currentSettings().Timing.Move, MaintenanceDuration: p.currentSettings().Timing.Maintenance,
	})
	if err != nil {
		p.log.Record(eventlog.ShardLoadFailed, eventlog.Fields{"shard": fleetShard, "error": err})
		return
	}
	p.fleetManager = m
	p.configureFleetManager()
	scope.Do(m.Start)
}

// configureFleetManager passes the pools and waves of the configuration to the
// maintenance manager, if this process runs it.
func (p *Process) configureFleetManager() {
	if p.fleetManager == nil {
		return
	}
	p.scopes[fleetShard].Do(func() {
		p.fleetManager.SetPools(p.poolNames, p.sparePool)
		p.fleetManager.SetWaves(p.waves)
	})
}

// ownershipCheck returns a function that reports whether this process still owns a shard
// under the given fence and its lease is valid.
func (p *Process) ownershipCheck(name string, fence uint64) func() bool {
	return func() bool {
		current, ok := p.cluster.Fence(name)
		return ok && current == fence && p.cluster.HasLease()
	}
}

// poolOwners sends report requests to the owners of pools through the forwarder.
type poolOwners struct{ p *Process }

// RequestReport implements [maintenance.PoolOwners].
func (o poolOwners) RequestReport(ctx context.Context, pool string, instructions maintenance.PoolInstructions) (maintenance.Demand, error) {
	request := &jobpb.Request{
		Call: jobpb.Call_CALL_REPORT, Shard: pool, Workers: workerNames(instructions.Vacate), Ended: workerNames(instructions.Ended),
		Due: workerNames(instructions.MaintenanceDue),
	}
	reply := o.p.forwarder.Call(ctx, request)
	if reply.Code != jobpb.Code_CODE_OK || reply.Report == nil {
		return maintenance.Demand{}, fmt.Errorf("request a report from the owner of pool %s: %v", pool, reply.Code)
	}
	demand := maintenance.Demand{
		Used: fromAmount(reply.Report.Used), Waiting: fromAmount(reply.Report.Waiting), Late: fromAmount(reply.Report.Late),
		ArrivalRate: fromAmount(reply.Report.Arriving), Workers: map[worker.ID]maintenance.WorkerUsage{},
		Unaccounted: workerIDs(reply.Report.Unaccounted),
	}
	for _, w := range reply.Report.Workers {
		demand.Workers[worker.ID(w.Id)] = maintenance.WorkerUsage{Tasks: int(w.Tasks), LongRunning: int(w.Lasting), Vacated: w.Vacated}
	}
	return demand, nil
}

// reportPool passes a report request to a shard and encodes its report. The reply is
// CODE_REFUSED if the shard cannot act at present.
func (p *Process) reportPool(s *shard.Shard, request *jobpb.Request) *jobpb.Reply {
	r, ok := s.ApplyInstructions(shard.Instructions{Vacate: workerIDs(request.Workers), Ended: workerIDs(request.Ended), MaintenanceDue: workerIDs(request.Due)})
	if !ok {
		return &jobpb.Reply{Code: jobpb.Code_CODE_REFUSED}
	}
	record := &jobpb.Report{
		Used: toAmount(r.Used), Waiting: toAmount(r.Waiting), Late: toAmount(r.Late), Arriving: toAmount(r.ArrivalRate),
		Unaccounted: workerNames(r.Unaccounted),
	}
	for _, use := range r.Workers {
		record.Workers = append(record.Workers, &jobpb.WorkerUse{
			Id: string(use.ID), Tasks: int32(use.Tasks), Lasting: int32(use.LongRunning), Vacated: use.Vacated,
		})
	}
	return &jobpb.Reply{Code: jobpb.Code_CODE_OK, Report: record}
}

func workerNames(ids []worker.ID) (names []string) {
	for _, id := range ids {
		names = append(names, string(id))
	}
	return names
}

func workerIDs(names []string) (ids []worker.ID) {
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
