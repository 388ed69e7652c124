package main

import (
	"fmt"
	"sync"
	"time"

	"peridotcrank.dev/review/internal/standin"
)

func init() { cases["late-upkeep"] = lateUpkeep }

// earliestLate and latestLate bound how late an order without an answer is carried out.
const (
	earliestLate = 2 * time.Second
	latestLate   = 12 * time.Second
)

// lateUpkeep: an order for the upkeep of a machine gets no answer, and the process that sent
// it is killed. The order is carried out some seconds later, while the next owner of the wave
// has ordered the upkeep of another machine.
func lateUpkeep(r *run) ([]string, error) {
	site, err := standin.NewSite(r.Record, []string{"pool-a", "pool-b"}, 3)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	site.Configure(ordersIn("pool-a"), otherQueue)
	machines := standin.NewMachines(r.Record, site.Fleet)
	defer machines.Close()
	held := make(chan standin.Order, 1)
	var once sync.Once
	machines.Hold = func(o standin.Order) (hold bool) {
		if r.trouble && o.Path == "/machine-upkeep" {
			once.Do(func() { hold = true; held <- o })
		}
		return hold
	}
	if err := site.StartProcesses(r.binary, 3, machines.Addr); err != nil {
		return nil, err
	}
	for i, path := range []string{"/orders/00000000000000a1", "/other/00000000000000b1"} {
		p := site.Processes[i]
		if !site.Submit(p, path, job(standin.Spec{MS: 100}, 2, 1000, nil), 15*time.Second) || !site.AwaitState(p, path, "completed", 10*time.Second) {
			return nil, errNotPlayed
		}
	}
	time.Sleep(2 * time.Second)
	const wave = 1
	members := []string{"m-pool-a-0", "m-pool-a-1", "m-pool-a-2", "m-pool-b-0", "m-pool-b-1", "m-pool-b-2"}
	machines.AddWave(site.Store, wave, members, 40*time.Second, 1)
	if r.trouble {
		if err := r.carryOutLate(site, machines, held, wave); err != nil {
			return nil, err
		}
	}
	completed := r.awaitWave(site, wave, 60*time.Second)
	r.Printf("the wave is completed: %v", completed)
	if !r.trouble && !completed {
		return nil, fmt.Errorf("%w: the wave wasn't completed", errNotPlayed)
	}
	return machines.Violations, nil
}

// carryOutLate kills the sender of the held order, gives the order's machine work, and carries
// the order out once another machine of the wave is down, within the limits of a late order.
func (r *run) carryOutLate(site *standin.Site, machines *standin.Machines, held <-chan standin.Order, wave int64) error {
	var o standin.Order
	select {
	case o = <-held:
	case <-time.After(30 * time.Second):
		return fmt.Errorf("%w: no upkeep was ordered", errNotPlayed)
	}
	orderedAt := time.Now()
	var alive *standin.Process
	for _, p := range site.Processes {
		if p.Name == o.Holder {
			p.Kill()
		} else {
			alive = p
		}
	}
	for i := range 3 {
		path := fmt.Sprintf("/orders/00000000000000f%d", i)
		go site.Submit(alive, path, job(standin.Spec{MS: 9000}, 6, 10000, nil), 10*time.Second)
	}
	for time.Since(orderedAt) < latestLate-100*time.Millisecond {
		if time.Since(orderedAt) >= earliestLate && len(machines.Down(wave)) > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.Printf("platform: the order without an answer is carried out %.1f s after it came", time.Since(orderedAt).Seconds())
	machines.CarryOut(o)
	return nil
}

// awaitWave waits until the status of the wave is completed.
func (r *run) awaitWave(site *standin.Site, wave int64, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if site.Store.Value("status", fmt.Sprintf("wave/%d", wave)) == `{"state":"completed"}` {
			return true
		}
	}
	return false
}
