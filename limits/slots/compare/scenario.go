package compare

import (
	"fmt"
	"time"
)

// Sizes and times that all scenarios share.
const (
	slotsPerWorker = 8
	zones          = 3
	// meanLoad is the mean demand as a share of the pool's slots; five times
	// as much is more than the pool can hold.
	meanLoad = 0.3
	// peakFactor is the ratio of a surge to the mean.
	peakFactor = 5
	// meanService and serviceSpread describe log-normal service times.
	meanService   = 80 * time.Millisecond
	serviceSpread = 0.7
	// timeout is the time from the arrival of a request to its deadline.
	timeout = 2 * time.Second
	// hop is the one-way latency between availability zones.
	hop = 500 * time.Microsecond
	// heartbeat is the interval at which processes report idle slots.
	heartbeat = 250 * time.Millisecond
	// warmUp, length and death are times of a run: figures are taken between
	// warmUp and length, and one process dies at death.
	warmUp = 5 * time.Second
	length = 20 * time.Second
	death  = 5 * time.Second
	// balancerDelay is the time until callers are sent to other processes.
	balancerDelay = time.Second
	// evictionDelay is the time until the dead process is evicted.
	evictionDelay = 2 * time.Second
)

// Load is a demand as a share of the pool's slots.
type Load struct {
	Name  string
	Share float64
}

// Loads are the loads that are compared.
func Loads() []Load {
	return []Load{
		{"1/20 of peak", meanLoad * peakFactor / 20},
		{"mean", meanLoad},
		{"5 x mean", meanLoad * peakFactor},
	}
}

// Balance is how callers are spread over the entry processes.
type Balance uint8

// Balances of callers.
const (
	Even     Balance = iota
	Uneven           // Half of the callers use the first process.
	Shifting         // Half of the callers use one process, another one each second.
	Death            // Even, and one process dies.
)

func (b Balance) String() string { return [...]string{"even", "uneven", "shifting", "one dies"}[b] }

// Scenario is one row of the comparison, without the policy.
type Scenario struct {
	Processes int
	Workers   int
	Load      Load
	Balance   Balance
}

func (s Scenario) String() string {
	return fmt.Sprintf("%d | %d | %s | %s", s.Processes, s.Workers, s.Load.Name, s.Balance)
}

// Scenarios returns all combinations.
func Scenarios() []Scenario {
	var all []Scenario
	for _, processes := range []int{3, 9} {
		for _, workers := range []int{9, 12} {
			for _, load := range Loads() {
				for _, balance := range []Balance{Even, Uneven, Shifting, Death} {
					all = append(all, Scenario{processes, workers, load, balance})
				}
			}
		}
	}
	return all
}
