package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"peridotcrank.dev/review/internal/standin"
)

func init() { cases["late-hold"] = lateHold }

const (
	// lateHoldCycles is how often a worker restarts.
	lateHoldCycles = 7
	// lateHoldCycle is the time from one restart to the next. The worker lists some hundred
	// ends in it, and the hold is carried out within it.
	lateHoldCycle = 10500 * time.Millisecond
	// A late order is carried out 2 to 12 s after it came; these between shortestLate and
	// longestLate.
	shortestLate = 4 * time.Second
	longestLate  = 8 * time.Second
	// crashTime is how long a worker is down.
	crashTime = 500 * time.Millisecond
)

// lateHold: a hold with an acknowledgement gets no answer, its worker crashes and starts again
// under its id, and the hold is carried out some seconds later by the worker's next life.
func lateHold(r *run) ([]string, error) {
	site, err := standin.NewSite(r.Record, []string{"pool-a"}, 9)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	site.Configure(standin.Queue{Name: "orders", Prefix: "/orders/", Pool: "pool-a", Attempts: 3})
	if err := site.StartProcesses(r.binary, 3, ""); err != nil {
		return nil, err
	}
	if !site.Submit(site.Processes[0], "/orders/00000000000000a1", job(standin.Spec{MS: 100}, 2, 1000, nil), 15*time.Second) {
		return nil, errNotPlayed
	}
	w := site.Fleet.All()[0]
	var mu sync.Mutex
	armed := false // The next hold of the worker with an acknowledgement is late.
	held := make(chan struct{}, 1)
	site.Fleet.LateHold = func(of *standin.Worker, acked uint64) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if !armed || of != w || acked == 0 {
			return 0
		}
		armed = false
		held <- struct{}{}
		late := shortestLate + rand.N(longestLate-shortestLate)
		r.Printf("worker %s: a hold with acked-upto %d gets no answer, it is carried out %.1f s later", w.ID, acked, late.Seconds())
		return late
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { r.loadFully(site, stop) })
	for range lateHoldCycles {
		time.Sleep(lateHoldCycle)
		if !r.trouble {
			continue
		}
		mu.Lock()
		armed = true
		mu.Unlock()
		select {
		case <-held:
		case <-time.After(3 * time.Second):
			r.Printf("no hold with an acknowledgement came")
		}
		time.Sleep(200 * time.Millisecond)
		if err := w.Restart(crashTime); err != nil {
			return nil, err
		}
	}
	close(stop)
	group.Wait()
	time.Sleep(5 * time.Second)
	r.Printf("%d runs in all", len(site.Fleet.RunsOf("")))
	return repeatedRuns(site.Fleet.RunsOf("")), nil
}

// loadFully hands jobs in that fill the pool until stop is closed.
func (r *run) loadFully(site *standin.Site, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(48 * time.Millisecond):
		}
		p := site.Processes[n%len(site.Processes)]
		path := fmt.Sprintf("/orders/%016x", 0x100000+n)
		group.Go(func() {
			p.Call(http.MethodPost, standin.Host, path, job(standin.Spec{MS: 640, Vary: true}, 24, 800, nil), false)
		})
	}
}
