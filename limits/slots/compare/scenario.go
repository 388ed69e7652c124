package compare

import (
	"fmt"
	"time"
)

// Sizes and times that all scenarios share.
const (
	slotsPerWorker = 8
	zones          = 3
	// meanLoad is the mean demand as a share of the pool's slots. Five times as
	// much exceeds the capacity of the pool.
	meanLoad = 0.3
	// peakFactor is the ratio of the demand in a surge to the mean demand.
	peakFactor = 5
	// meanService is the mean and serviceSigma the sigma of the log-normal
	// distribution of service times.
	meanService  = 80 * time.Millisecond
	serviceSigma = 0.7
	// timeout is the time from the arrival of a request to its deadline.
	timeout = 2 * time.Second
	// interZoneLatency is the one-way latency between availability zones.
	interZoneLatency = 500 * time.Microsecond
	// heartbeat is the interval at which processes report idle slots.
	heartbeat = 250 * time.Millisecond
	// warmUp, runLength and crashTime are times from the start of a run: figures
	// cover the time from warmUp to runLength, and one process crashes at crashTime.
	warmUp    = 5 * time.Second
	runLength = 20 * time.Second
	crashTime = 5 * time.Second
	// balancerDelay is the time from the crash until the balancer sends callers to
	// other processes.
	balancerDelay = time.Second
	// evictionDelay is the time from the crash until the process is evicted.
	evictionDelay = 2 * time.Second
)

// Load is a demand as a share of the pool's slots, with its name in the tables.
type Load struct {
	Name  string
	Share float64
}

// Loads returns the loads that are compared.
func Loads() []Load {
	return []Load{
		{"1/20 of peak", meanLoad * peakFactor / 20},
		{"mean", meanLoad},
		{"5 x mean", meanLoad * peakFactor},
	}
}

// Balance is the distribution of callers over the entry processes.
type Balance uint8

// Distributions of callers.
const (
	Even     Balance = iota
	Uneven           // Half of the callers use the first process.
	Shifting         // Half of the callers use one process, and a different one each second.
	Crash            // Even, and one process crashes.
)

func (b Balance) String() string { return [...]string{"even", "uneven", "shifting", "one dies"}[b] }

// Scenario is a setting in which the policies are compared.
type Scenario struct {
	Processes int
	Workers   int
	Load      Load
	Balance   Balance
}

func (s Scenario) String() string {
	return fmt.Sprintf("%d | %d | %s | %s", s.Processes, s.Workers, s.Load.Name, s.Balance)
}

// Scenarios returns all combinations of sizes, loads and balances.
func Scenarios() []Scenario {
	var all []Scenario
	for _, processes := range []int{3, 9} {
		for _, workers := range []int{9, 12} {
			for _, load := range Loads() {
				for _, balance := range []Balance{Even, Uneven, Shifting, Crash} {
					all = append(all, Scenario{processes, workers, load, balance})
				}
			}
		}
	}
	return all
}
