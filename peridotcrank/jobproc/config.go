package jobproc

import (
	"slices"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/jobs/ingress"
	"peridotcrank.dev/jobs/rows"
	"peridotcrank.dev/jobs/shard"
	"peridotcrank.dev/platform"
)

// routing is what requests need of the configuration in force.
type routing struct {
	table     *ingress.RouteTable
	bodyBytes int64
}

// Find implements [platform.Routing].
func (p *Process) Find(host, path string) (ingress.Route, bool, bool) {
	r := p.routing.Load()
	if r == nil {
		return ingress.Route{}, false, false
	}
	route, found := r.table.Find(host, path)
	return route, found, true
}

// MaxBodyBytes implements [platform.Routing].
func (p *Process) MaxBodyBytes() int64 {
	if r := p.routing.Load(); r != nil {
		return r.bodyBytes
	}
	return 0
}

// operatorChanged takes the rows that operators write.
func (p *Process) operatorChanged(table map[string]rows.Row) {
	c, found, err := platform.FindConfig(table)
	if err != nil {
		p.log.Record(eventlog.ConfigUnreadable, eventlog.Fields{"error": err})
	}
	waves, faults := platform.FindWaves(table)
	for _, fault := range faults {
		p.log.Record(eventlog.RegistryEntryUnreadable, eventlog.Fields{"error": fault})
	}
	p.loop.Scope(func(reason any, _ []byte) { p.callFailed(reason) }).Post(func() {
		if found {
			p.applyConfig(c)
		}
		p.waves = waves
		p.updateFleet()
	})
}

// tolerant returns a function that takes the rows of a table, and records an
// unexpected error in it.
func (p *Process) tolerant(changed func(map[string]rows.Row)) func(map[string]rows.Row) {
	return func(table map[string]rows.Row) {
		defer func() {
			if reason := recover(); reason != nil {
				p.callFailed(reason)
			}
		}()
		changed(table)
	}
}

// applyConfig puts a configuration in force. An older one than that in force
// is left alone, since readings may overtake each other.
func (p *Process) applyConfig(c platform.Config) {
	if c.Version <= p.version {
		return
	}
	p.version = c.Version
	p.queues = shard.Queues{}
	for i := range c.Routes {
		r := &c.Routes[i]
		p.queues[r.Queue] = shard.Queue{Attempts: r.Attempts, Priority: r.Priority, Stretch: r.Stretch, Objective: r.Objective, Advice: r.Advice}
		r.FormerPools = p.formerPools(string(r.Queue), r.Pool)
	}
	p.routing.Store(&routing{ingress.NewRouteTable(c.Routes), c.MaxBodyBytes})
	p.poolNames, p.spare = nil, ""
	for _, pool := range c.Pools {
		p.poolNames = append(p.poolNames, pool.Name)
		if pool.Spare {
			p.spare = pool.Name
		}
	}
	p.cluster.SetShards(p.poolNames)
	if p.live().Platform.Machines != "" {
		p.cluster.SetShards([]string{fleetShard})
	}
	for name, s := range p.shards {
		p.scopes[name].Do(func() { s.SetQueues(p.queues) })
	}
	p.ready.Store(true)
	p.log.Record(eventlog.JobsConfigReceived, eventlog.Fields{"version": c.Version, "routes": len(c.Routes), "pools": len(p.poolNames)})
}

// formerPools notes the pool of a queue and returns the other pools it had.
func (p *Process) formerPools(queue, pool string) (former []string) {
	known := p.histories[queue]
	if !slices.Contains(known, pool) {
		known = append(known, pool)
		p.histories[queue] = known
	}
	for _, other := range known {
		if other != pool {
			former = append(former, other)
		}
	}
	return former
}

// storeWayChanged records where calls to the store begin.
func (p *Process) storeWayChanged(throughPeer bool) {
	code := eventlog.StoreDirect
	if throughPeer {
		code = eventlog.StoreThroughPeer
	}
	p.log.Record(code, eventlog.Fields{})
}

// feedState returns a function that records when a table's changes cannot be read.
func (p *Process) feedState(table string) func(error) {
	failing := false
	return func(err error) {
		if err != nil && !failing {
			p.log.Record(eventlog.FeedInterrupted, eventlog.Fields{"table": table, "error": err})
		}
		if err == nil && failing {
			p.log.Record(eventlog.FeedRestored, eventlog.Fields{"table": table})
		}
		failing = err != nil
	}
}
