package jobproc

import (
	"fmt"
	"time"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/cluster"
	"peridotcrank.dev/jobs/loop"
	"peridotcrank.dev/jobs/shard"
	"peridotcrank.dev/jobs/worker"
)

const (
	// maxWorkerLease limits the lease that workers get. It is longer than the takeover
	// of a shard whose owner has failed.
	maxWorkerLease = 5800 * time.Millisecond
	// retentionMargin is added to the configured time for which ended jobs can be queried.
	retentionMargin = 30 * time.Second
)

// ownership handles gained and lost shards of this process. Its methods run on the loop.
type ownership Process

// Acquired implements [cluster.Listener].
func (o *ownership) Acquired(name string, fence uint64) {
	p := (*Process)(o)
	number := p.recordAcquired(name, fence)
	if name == fleetShard {
		p.startFleetManager(fence)
		return
	}
	scope := p.newScope(name, fence)
	s, err := shard.New(shard.Options{
		Pool: name, Owner: fmt.Sprintf("%s/%d", p.currentSettings().Member, fence), Fence: fence, Acquisition: number,
		LeaseDuration: min(maxWorkerLease, p.currentSettings().Leases.MaxHold),
		MaxLease:      p.currentSettings().Leases.MaxHold,
		KeepEnded:     p.currentSettings().Timing.KeepEnded + retentionMargin,
		StopTime:      p.currentSettings().Timing.Stop,
		Store:         p.store, Workers: p.workers, Advice: p.advice, JobMemory: p.jobMemory, TaskMemory: p.taskMemory, Loop: scope, Recorder: p.log,
		OwnsShard:        p.ownershipCheck(name, fence),
		OnLost:           func() { p.cluster.Renounce(name, fence) },
		OnExcess:         p.countExcess,
		Counts:           p.metrics,
		Clock:            p.clock.Now,
		LearnedDurations: p.currentSettings().Scheduling.LearnedDurations, PredictionObserved: p.recordPrediction,
		AttemptRecords: p.currentSettings().Scheduling.AttemptRecords,
	})
	if err != nil {
		p.log.Record(eventlog.ShardLoadFailed, eventlog.Fields{"shard": name, "error": err})
		return
	}
	p.shards[name] = s
	p.updateRegistryWatch()
	p.updateCapFeed()
	scope.Do(func() {
		s.SetQueues(p.queues)
		p.configureCaps(s)
		if p.workersByPool != nil {
			s.SetWorkers(p.workersByPool[name])
		}
		s.Start()
	})
}

// failureBackoff is the time from a panic in a shard until ownership is given up, so
// that this process or another one can acquire the shard again.
const failureBackoff = 2 * time.Second

// newScope returns the loop scope that runs the handlers of an owned shard. After a
// panic the shard is dropped, because its state in memory may be inconsistent; the
// next owner loads it from the stored rows.
func (p *Process) newScope(name string, fence uint64) *loop.Scope {
	scope := p.loop.Scope(func(reason any, stack []byte) {
		p.log.Record(eventlog.ShardFailed, eventlog.Fields{"shard": name, "fence": fence, "error": reason, "stack": string(stack)})
		if current, ok := p.cluster.Fence(name); !ok || current != fence {
			return
		}
		p.dropShard(name)
		p.loop.After(failureBackoff, func() { p.cluster.Renounce(name, fence) })
	})
	p.scopes[name] = scope
	return scope
}

// dropShard stops a shard and removes it. A panic while it stops is ignored.
func (p *Process) dropShard(name string) {
	delete(p.scopes, name)
	if s := p.shards[name]; s != nil {
		delete(p.shards, name)
		p.loop.Scope(func(any, []byte) {}).Do(s.Stop)
		p.updateRegistryWatch()
		p.updateCapFeed()
	}
	if name == fleetShard {
		p.stopFleetManager()
	}
}

// Released implements [cluster.Listener].
func (o *ownership) Released(name string) {
	p := (*Process)(o)
	p.dropShard(name)
	p.log.Record(eventlog.ShardReleased, eventlog.Fields{"shard": name})
}

// Renewed implements [cluster.Listener].
func (o *ownership) Renewed(err error) {
	if err != nil && o.renewalOK {
		o.log.Record(eventlog.RenewalFailed, eventlog.Fields{"error": err})
	}
	if err == nil && !o.renewalOK {
		o.log.Record(eventlog.RenewalRestored, eventlog.Fields{})
	}
	o.renewalOK = err == nil
}

// DirectoryChanged implements [cluster.Listener].
func (o *ownership) DirectoryChanged(d cluster.Directory) { o.forwarder.SetDirectory(d) }

// PeersChanged implements [cluster.Listener].
func (o *ownership) PeersChanged(addresses []string) { o.storeRelay.SetPeers(addresses) }

// setWorkers passes the registered workers of each pool to its shard.
func (p *Process) setWorkers(workersByPool map[string][]worker.Info) {
	p.workersByPool = workersByPool
	for name, s := range p.shards {
		p.scopes[name].Do(func() { s.SetWorkers(workersByPool[name]) })
	}
}

// CanHandOver implements [cluster.Listener]. The fleet's shard needs little CPU and stays.
func (o *ownership) CanHandOver(name string) bool {
	p := (*Process)(o)
	return p.shards[name] != nil && !p.stopping.Load()
}

// HandOver implements [cluster.Listener].
func (o *ownership) HandOver(name string, fence uint64) {
	p := (*Process)(o)
	p.log.Record(eventlog.ShardHandedOver, eventlog.Fields{"shard": name, "fence": fence})
	p.scopes[name].Do(p.shards[name].Drain)
	p.awaitShardDrained(name, fence, p.clock.Now()+handOverTimeout)
}

// awaitShardDrained gives up a draining shard once it is drained, at the latest at the
// deadline.
func (p *Process) awaitShardDrained(name string, fence uint64, deadline time.Duration) {
	if s := p.shards[name]; s != nil && !s.Drained() && p.clock.Now() < deadline {
		p.loop.After(handOverPollInterval, func() { p.awaitShardDrained(name, fence, deadline) })
		return
	}
	p.cluster.FinishHandover(name, fence)
}

// handOverPollInterval is the time between checks whether the shards are drained.
const handOverPollInterval = 20 * time.Millisecond

// handOverTimeout limits the wait for outstanding commits and orders before the shards
// are released.
const handOverTimeout = 800 * time.Millisecond

func (p *Process) stopFleetManager() {
	if p.fleetManager != nil {
		p.fleetManager.Stop()
		p.fleetManager = nil
	}
}

// handOver stops accepting work and releases all shards once they are drained, or
// after handOverTimeout.
func (p *Process) handOver() {
	if p.fleetManager != nil {
		p.fleetManager.Drain()
	}
	for _, s := range p.shards {
		s.Drain()
	}
	p.awaitDrained(p.clock.Now() + handOverTimeout)
}

// awaitDrained releases all shards once they are drained, at the latest at the deadline.
func (p *Process) awaitDrained(deadline time.Duration) {
	drained := p.fleetManager == nil || p.fleetManager.Drained()
	for _, s := range p.shards {
		drained = drained && s.Drained()
	}
	if !drained && p.clock.Now() < deadline {
		p.loop.After(handOverPollInterval, func() { p.awaitDrained(deadline) })
		return
	}
	p.stopFleetManager()
	for _, s := range p.shards {
		s.Stop()
	}
	clear(p.shards)
	p.updateRegistryWatch()
	p.updateCapFeed()
	p.cluster.Leave(func() {})
}
