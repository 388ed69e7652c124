// Package fleettest builds fleets for tests, benchmarks and the test program.
package fleettest

import (
	"fmt"

	"peridotcrank.dev/fleet"
)

// Sizes of a worker VM and of its rack.
const (
	SlotsPerWorker       = 8
	ConnectionsPerWorker = 64
	WorkersPerRack       = 4
	ZonesPerSite         = 3
)

// PoolSize describes a pool of a site and its number of workers.
type PoolSize struct {
	ID      fleet.PoolID
	Service fleet.ServiceName
	Workers int
	Spare   bool
}

// WASouth returns the pools of the site wa-south.
func WASouth() []PoolSize {
	return []PoolSize{
		{ID: "counterdesk", Service: "orders", Workers: 9}, {ID: "stockroom", Service: "stock", Workers: 9},
		{ID: "webshop", Service: "packing-slips", Workers: 11}, {ID: "stalltill", Service: "takings", Workers: 12},
		{ID: "backoffice", Workers: 8, Spare: true},
	}
}

// JMSouth returns the pools of the site jm-south.
func JMSouth() []PoolSize {
	return []PoolSize{
		{ID: "pricing", Service: "price", Workers: 9}, {ID: "pourplan", Service: "mould-plan", Workers: 9},
		{ID: "stores", Service: "stock", Workers: 11}, {ID: "dispatch", Service: "label", Workers: 12},
		{ID: "backoffice", Workers: 8, Spare: true},
	}
}

// SizesFor returns pools that hold the given number of workers in total, in about the
// proportions of wa-south. From 1,500 workers on there are 25 pools.
func SizesFor(workers int) []PoolSize {
	pools := 5
	if workers >= 1500 {
		pools = 25
	}
	sizes := make([]PoolSize, pools)
	for i := range sizes {
		sizes[i] = PoolSize{ID: fleet.PoolID(fmt.Sprintf("pool-%02d", i)), Service: fleet.ServiceName(fmt.Sprintf("service-%02d", i)), Workers: workers / pools}
	}
	for i := range workers % pools {
		sizes[i].Workers++
	}
	sizes[pools-1].Spare, sizes[pools-1].Service = true, ""
	return sizes
}

// Fleet returns a fleet in which all VMs are serving. The workers of each pool are
// distributed round-robin over racks and availability zones. Row versions are 1.
func Fleet(sizes []PoolSize) *fleet.Snapshot {
	s := &fleet.Snapshot{
		Revision: 1, VMs: map[fleet.VMID]fleet.VM{}, Pools: map[fleet.PoolID]fleet.Pool{},
		Plans: map[fleet.PlanID]fleet.Plan{}, Intents: map[fleet.IntentID]fleet.Intent{},
	}
	total := 0
	for _, p := range sizes {
		total += p.Workers
	}
	racks := (total + WorkersPerRack - 1) / WorkersPerRack
	n := 0
	for _, p := range sizes {
		pool := fleet.Pool{ID: p.ID, Service: p.Service, Capacity: p.Workers, Spare: p.Spare, Version: 1}
		if p.Spare {
			pool.Capacity = 0
		}
		s.Pools[p.ID] = pool
		for range p.Workers {
			vm := newVM(n, n%racks, p.ID)
			s.VMs[vm.ID] = vm
			n++
		}
	}
	return s
}

func newVM(n, rack int, pool fleet.PoolID) fleet.VM {
	return fleet.VM{
		ID:      fleet.VMID(fmt.Sprintf("vm-%04d", n)),
		Address: fmt.Sprintf("127.0.0.1:%d", 20000+n),
		Rack:    fleet.RackID(fmt.Sprintf("rack-%04d", rack)),
		Zone:    fleet.ZoneID(fmt.Sprintf("zone-%c", 'a'+rack%ZonesPerSite)),
		Slots:   SlotsPerWorker, Connections: ConnectionsPerWorker,
		Pool: pool, Generation: 1, Phase: fleet.PhaseServing, Version: 1,
	}
}
