package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	lateWorkers   = 4
	lateCPU       = 32000
	lateTaskCPU   = 500
	lateTaskTime  = 900 * time.Millisecond
	lateTasks     = 48 // Of a job.
	lateEvery     = 200 * time.Millisecond
	lateFor       = 5500 * time.Millisecond
	lateShare     = 0.055
	loadFor       = 30 * time.Second
	idleLimit     = 3 * time.Second
	calmBefore    = 4 * time.Second
	checkInterval = 100 * time.Millisecond
	// maxLate is well under the 12 s that the pages allow, so that the calm begins soon.
	maxLate = 4 * time.Second
)

// lateStarts sends jobs of small tasks while workers leave some orders unanswered for some seconds, and looks for jobs
// that have nothing running long after that, although the workers have free capacity.
func lateStarts(p *play) (broken []string) {
	s := newSystem(p.record)
	defer s.close()
	s.fleet.length = func(string) time.Duration { return lateTaskTime }
	s.fleet.maxLate = maxLate
	for range lateWorkers {
		s.fleet.add("counterdesk", lateCPU)
	}
	s.configure([]string{"counterdesk"}, []route{{"order", "/order/", "counterdesk"}})
	for i := range 3 {
		s.addDaemon(p.root, i+1, "127.0.0.1")
	}
	s.awaitReady()
	await("a first job is accepted", 20*time.Second, func() bool {
		return s.send(s.daemons[0], http.MethodPost, "/order/00000000000000ff", jobBody("first", 1, 1000, 900), callLimit).status == http.StatusOK
	})
	time.Sleep(5 * time.Second)
	began := time.Now()
	calmFrom := began
	if p.trouble {
		p.record.line("the workers leave %.3f of the orders unanswered and carry them out %v to %v later", lateShare, minLate, maxLate)
		for _, w := range s.fleet.ofPool("counterdesk") {
			w.setLate(lateShare)
		}
		calmFrom = began.Add(lateFor + maxLate)
	}
	var mu sync.Mutex
	accepted := map[string]bool{}
	go func() {
		for i := 0; time.Since(began) < loadFor; i++ {
			id := fmt.Sprintf("%016x", 0x1000+i)
			go func() {
				if s.send(s.daemons[i%3], http.MethodPost, "/order/"+id, jobBody("small tasks", lateTasks, lateTaskCPU, lateTaskTime.Milliseconds()), callLimit).status == http.StatusOK {
					mu.Lock()
					accepted[id] = true
					mu.Unlock()
				}
			}()
			time.Sleep(lateEvery)
		}
	}()
	idleSince, reported := map[string]time.Time{}, map[string]bool{}
	for healed := false; time.Since(began) < loadFor+8*time.Second; time.Sleep(checkInterval) {
		if !healed && time.Since(began) > lateFor {
			healed = true
			for _, w := range s.fleet.ofPool("counterdesk") {
				w.setLate(0)
			}
			p.record.line("the workers answer all orders again")
		}
		running, done := s.ledger.running(), s.ledger.done()
		total := 0
		for _, n := range running {
			total += n
		}
		capacity := lateWorkers * lateCPU / lateTaskCPU
		now := time.Now()
		mu.Lock()
		stuck := 0
		for id := range accepted {
			// Under half of the capacity is in use, and the rest holds the job twice.
			free := 2*total < capacity && capacity-total >= 2*lateTasks
			if running[id] > 0 || done[id] == lateTasks || !free || now.Before(calmFrom.Add(calmBefore)) {
				delete(idleSince, id)
				continue
			}
			if idleSince[id].IsZero() {
				idleSince[id] = now
			}
			if now.Sub(idleSince[id]) > idleLimit {
				stuck++
				if !reported[id] {
					reported[id] = true
					broken = append(broken, fmt.Sprintf("%.1f s after the load began: job %s has had nothing running for %v, %d of its %d tasks are done, %d of %d places are in use", now.Sub(began).Seconds(), id, idleLimit, done[id], lateTasks, total, capacity))
				}
			}
		}
		mu.Unlock()
		p.record.line("%d of %d places are in use; %d jobs stand still; ends not acknowledged, by worker: %v", total, capacity, stuck, s.fleet.openEnds())
	}
	return broken
}
