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
	// holdFor outlasts the takeover of a shard whose owner has failed.
	holdFor = 5800 * time.Millisecond
	// keepSlack is added to the time for which ended jobs must be shown.
	keepSlack = 30 * time.Second
)

// ownership hears of shards that this process gains and loses, on the loop.
type ownership Process

// Acquired implements [cluster.Listener].
func (o *ownership) Acquired(name string, fence uint64) {
	p := (*Process)(o)
	p.log.Record(eventlog.ShardAcquired, eventlog.Fields{"shard": name, "fence": fence})
	if name == fleetShard {
		p.startFleet(fence)
		return
	}
	scope := p.newScope(name, fence)
	s, err := shard.New(shard.Options{
		Pool: name, Owner: fmt.Sprintf("%s/%d", p.live().Member, fence), Fence: fence,
		LeaseDuration: min(holdFor, p.live().Leases.MaxHold),
		KeepEnded:     p.live().Timing.KeepEnded + keepSlack,
		StopTime:      p.live().Timing.Stop,
		Store:         p.store, Workers: p.workers, Adviser: p.adviser, Loop: scope, Recorder: p.log,
		OwnsShard: p.hasRight(name, fence),
		OnLost:    func() { p.cluster.Renounce(name, fence) },
		Clock:     p.clock.Now,
	})
	if err != nil {
		p.log.Record(eventlog.ShardLoadFailed, eventlog.Fields{"shard": name, "error": err})
		return
	}
	p.shards[name] = s
	p.watchRegistry()
	scope.Do(func() {
		s.SetQueues(p.queues)
		if p.pools != nil {
			s.SetWorkers(p.pools[name])
		}
		s.Start()
	})
}

// failurePause is the time from an unexpected error in a shard until the shard may
// be taken anew, by this process or another one.
const failurePause = 2 * time.Second

// newScope returns the scope in which a shard that this process owns is handled.
// After an unexpected error the shard is given up, since its state may be
// inconsistent; a new owner reads it from the rows.
func (p *Process) newScope(name string, fence uint64) *loop.Scope {
	scope := p.loop.Scope(func(reason any, stack []byte) {
		p.log.Record(eventlog.ShardFailed, eventlog.Fields{"shard": name, "fence": fence, "error": reason, "stack": string(stack)})
		if current, ok := p.cluster.Fence(name); !ok || current != fence {
			return
		}
		p.abandon(name)
		p.loop.After(failurePause, func() { p.cluster.Renounce(name, fence) })
	})
	p.scopes[name] = scope
	return scope
}

// abandon ends the handling of a shard, without its cooperation where that fails.
func (p *Process) abandon(name string) {
	delete(p.scopes, name)
	if s := p.shards[name]; s != nil {
		delete(p.shards, name)
		p.loop.Scope(func(any, []byte) {}).Do(s.Stop)
		p.watchRegistry()
	}
	if name == fleetShard {
		p.stopFleet()
	}
}

// Released implements [cluster.Listener].
func (o *ownership) Released(name string) {
	p := (*Process)(o)
	p.abandon(name)
	p.log.Record(eventlog.ShardReleased, eventlog.Fields{"shard": name})
}

// Renewed implements [cluster.Listener].
func (o *ownership) Renewed(err error) {
	if err != nil && o.renewing {
		o.log.Record(eventlog.RenewalFailed, eventlog.Fields{"error": err})
	}
	if err == nil && !o.renewing {
		o.log.Record(eventlog.RenewalRestored, eventlog.Fields{})
	}
	o.renewing = err == nil
}

// DirectoryChanged implements [cluster.Listener].
func (o *ownership) DirectoryChanged(d cluster.Directory) { o.forward.SetDirectory(d) }

// PeersChanged implements [cluster.Listener].
func (o *ownership) PeersChanged(addresses []string) { o.storeRelay.SetPeers(addresses) }

func (p *Process) setWorkers(pools map[string][]worker.Info) {
	p.pools = pools
	for name, s := range p.shards {
		p.scopes[name].Do(func() { s.SetWorkers(pools[name]) })
	}
}

// handOverPoll is the time between looks whether all commits were answered.
const handOverPoll = 20 * time.Millisecond

// handOverLimit bounds the wait for commits before the shards are given up.
const handOverLimit = 800 * time.Millisecond

func (p *Process) stopFleet() {
	if p.fleet != nil {
		p.fleet.Stop()
		p.fleet = nil
	}
}

// handOver gives up all shards once what was submitted is stored.
func (p *Process) handOver() {
	if p.fleet != nil {
		p.fleet.Close()
	}
	for _, s := range p.shards {
		s.Drain()
	}
	p.awaitCommits(p.clock.Now() + handOverLimit)
}

func (p *Process) awaitCommits(limit time.Duration) {
	idle := p.fleet == nil || p.fleet.Idle()
	for _, s := range p.shards {
		idle = idle && s.AllCommitted()
	}
	if !idle && p.clock.Now() < limit {
		p.loop.After(handOverPoll, func() { p.awaitCommits(limit) })
		return
	}
	p.stopFleet()
	for _, s := range p.shards {
		s.Stop()
	}
	clear(p.shards)
	p.watchRegistry()
	p.cluster.Leave(func() {})
}
