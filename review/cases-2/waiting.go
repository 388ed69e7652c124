package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	poolWorkers  = 9
	rackWorkers  = 4
	waitingJobs  = 12
	jobInterval  = 80 * time.Millisecond
	outageLength = 7500 * time.Millisecond
	// visibleAfter is the age from which a job counts: visible_ms and 2 s.
	visibleAfter = 5 * time.Second
)

// waitingCount lets the workers of a rack go silent just before jobs are handed in, and asks for the number of waiting
// jobs.
func waitingCount(p *play) (broken []string) {
	s := newSystem(p.record)
	defer s.close()
	for range poolWorkers {
		s.fleet.add("counterdesk", 32000)
	}
	s.configure([]string{"counterdesk"}, []route{{"order", "/order/", "counterdesk"}})
	for i := range 3 {
		s.addDaemon(p.root, i+1, "127.0.0.1")
	}
	s.awaitReady()
	await("a first job is accepted", 20*time.Second, func() bool {
		return s.send(s.daemons[0], http.MethodPost, "/order/00000000000000ff", jobBody("first", 1, 1000, 1000), callLimit).status == http.StatusOK
	})
	time.Sleep(8 * time.Second)
	began := time.Now()
	if p.trouble {
		for _, w := range s.fleet.ofPool("counterdesk")[:rackWorkers] {
			w.crash()
		}
		p.record.line("the %d workers of rack-0 have crashed and are silent", rackWorkers)
	}
	var mu sync.Mutex
	accepted := map[string]time.Time{}
	for i := range waitingJobs {
		id := fmt.Sprintf("%016x", 0x100+i)
		go func() {
			if s.send(s.daemons[i%3], http.MethodPost, "/order/"+id, jobBody("small", 1, 1800, 1000), callLimit).status == http.StatusOK {
				mu.Lock()
				accepted[id] = time.Now()
				mu.Unlock()
			}
		}()
		time.Sleep(jobInterval)
	}
	time.Sleep(visibleAfter)
	for round := 0; time.Since(began) < outageLength; round++ {
		d := s.daemons[round%len(s.daemons)]
		a := s.send(d, http.MethodGet, "/order/", nil, callLimit)
		var reply struct{ Waiting int }
		if a.status == http.StatusOK && json.Unmarshal([]byte(a.body), &reply) == nil {
			mu.Lock()
			waiting := 0
			for id, at := range accepted {
				// Jobs that have begun since the answer do not count.
				if time.Since(at) > visibleAfter+100*time.Millisecond && !s.ledger.begun(id) {
					waiting++
				}
			}
			mu.Unlock()
			p.record.line("%d jobs were accepted over %v ago and have not begun; %s gives %d", waiting, visibleAfter, d.name, reply.Waiting)
			if 2*reply.Waiting < waiting {
				broken = append(broken, fmt.Sprintf("%s gives %d jobs as waiting; %d were accepted over %v ago and have not begun", d.name, reply.Waiting, waiting, visibleAfter))
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return broken
}
