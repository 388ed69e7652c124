// Package site describes the two existing sites and scaled ones: their pools, workers,
// racks and availability zones, and the load of their services.
package site

import (
	"fmt"
	"time"

	"peridotcrank.dev/fleet"
)

// Sizes of a worker and of a rack.
const (
	SlotsPerWorker       = 8
	ConnectionsPerWorker = 64
	WorkersPerRack       = 4
)

// Ratios of the load of a service: a surge is five times the mean, and the
// load between surges is a twentieth of the surge.
const (
	SurgeToMean  = 5
	SurgeToQuiet = 20
)

// SurgeToCapacity is the load of a surge as a multiple of the capacity of the service's pool.
const SurgeToCapacity = 1.25

// Pool is a pool of a site with its number of workers.
type Pool struct {
	ID      fleet.PoolID
	Workers int
}

// Site is a site with its availability zones and pools.
type Site struct {
	Name  string
	Zones []fleet.ZoneID
	Pools []Pool
	// Spare is the pool that runs no service.
	Spare fleet.PoolID
}

// Sites holds the existing sites by name.
var Sites = map[string]Site{
	"quokka": {
		Name:  "quokka",
		Zones: []fleet.ZoneID{"wa-south-a", "wa-south-b", "wa-south-c"},
		Pools: []Pool{{"counterdesk", 9}, {"stockroom", 9}, {"webshop", 11}, {"stalltill", 12}, {"backoffice", 8}},
		Spare: "backoffice",
	},
	"castwork": {
		Name:  "castwork",
		Zones: []fleet.ZoneID{"jm-south-a", "jm-south-b", "jm-south-c"},
		Pools: []Pool{{"pricing", 9}, {"pourplan", 9}, {"stores", 11}, {"dispatch", 12}, {"backoffice", 8}},
		Spare: "backoffice",
	},
}

// ByName returns an existing site, or an error when the name is unknown.
func ByName(name string) (Site, error) {
	s, ok := Sites[name]
	if !ok {
		return Site{}, fmt.Errorf("unknown site %q: use quokka or castwork", name)
	}
	return s, nil
}

// VMs returns the workers of the site. The workers of a pool are distributed round robin
// over the availability zones. They listen on 127.0.0.1, each on a port of its own from
// basePort on.
func (s Site) VMs(basePort int) []fleet.VM {
	var vms []fleet.VM
	countInZone := make(map[fleet.ZoneID]int)
	for _, pool := range s.Pools {
		for range pool.Workers {
			zone := s.Zones[len(vms)%len(s.Zones)]
			rack := fleet.RackID(fmt.Sprintf("%s-r%02d", zone, countInZone[zone]/WorkersPerRack+1))
			countInZone[zone]++
			vms = append(vms, fleet.VM{
				ID:         fleet.VMID(fmt.Sprintf("vm-%03d", len(vms)+1)),
				Address:    fmt.Sprintf("127.0.0.1:%d", basePort+len(vms)),
				Rack:       rack,
				Zone:       zone,
				Slots:      SlotsPerWorker,
				Pool:       pool.ID,
				Generation: 1,
				Phase:      fleet.PhaseServing,

				Connections: ConnectionsPerWorker,
			})
		}
	}
	return vms
}

// Services returns the services of the site, one for each pool except the spare one.
func (s Site) Services() []fleet.Service {
	var services []fleet.Service
	for _, pool := range s.Pools {
		if pool.ID == s.Spare {
			continue
		}
		services = append(services, fleet.Service{
			Name: fleet.ServiceName(pool.ID), PathPrefix: "/" + string(pool.ID) + "/", Pool: pool.ID,
			Timeout: 2 * time.Second, MaxBodyBytes: 1 << 20, MaxQueue: 256, AvailabilityTarget: 0.999,
		})
	}
	return services
}

// CapacityRate returns the number of requests a second that the slots of a pool can serve
// when each request takes serviceTime.
func (p Pool) CapacityRate(serviceTime time.Duration) float64 {
	return float64(p.Workers*SlotsPerWorker) / serviceTime.Seconds()
}

// Sizes of the fleet expected in two years.
const (
	ScaledPools = 25
	ScaledZones = 9
)

// Scaled returns a site with the given number of workers, distributed over the pools and
// availability zones of the fleet expected in two years.
func Scaled(workers int) Site {
	s := Site{Name: fmt.Sprintf("scaled-%d", workers)}
	for i := range ScaledZones {
		s.Zones = append(s.Zones, fleet.ZoneID(fmt.Sprintf("zone-%d", i+1)))
	}
	pools := min(ScaledPools, workers)
	for i := range pools {
		n := workers / pools
		if i < workers%pools {
			n++
		}
		s.Pools = append(s.Pools, Pool{ID: fleet.PoolID(fmt.Sprintf("pool-%02d", i+1)), Workers: n})
	}
	s.Spare = s.Pools[pools-1].ID
	return s
}
