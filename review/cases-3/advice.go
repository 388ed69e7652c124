package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["advice"] = registered{7, caseAdvice} }

const (
	// decideTime, eachTime and ticketValid are the terms of the advice: 0.75 s for a call about 9 workers.
	decideTime  = 300 * time.Millisecond
	eachTime    = 50 * time.Millisecond
	ticketValid = 5 * time.Second
	// maxWaiting is the number of waiting calls from which the service answers 429.
	maxWaiting = 32

	// jobEvery is the time between two jobs of a queue.
	jobEvery = 1667 * time.Millisecond
	// burstAt is when burstJobs come at once to each queue: what 2.6 times the traffic for 4 s brings.
	burstAt   = 6 * time.Second
	burstJobs = 6
	// adviceTraffic is how long jobs are handed in.
	adviceTraffic = 35 * time.Second
)

// adviser is a stand-in of the service for advice for one calling machine. It handles one call at a
// time, in turn, and leaves out those whose caller has gone before their turn.
type adviser struct {
	name    string
	rec     *recorder
	turn    chan struct{}
	waiting atomic.Int32
	served  atomic.Int32
	unheard atomic.Int32 // Calls whose caller had gone when they were answered.
}

// ServeHTTP implements [http.Handler].
func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if a.waiting.Add(1) > maxWaiting {
		a.waiting.Add(-1)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.turn <- struct{}{}
	a.waiting.Add(-1)
	defer func() { <-a.turn }()
	if r.Context().Err() != nil {
		return
	}
	time.Sleep(decideTime + time.Duration(len(body.Workers))*eachTime)
	a.served.Add(1)
	if r.Context().Err() != nil {
		a.unheard.Add(1)
		a.rec.printf("%s: advice on %s about %d workers, its caller has gone", a.name, recordName(body.Step), len(body.Workers))
		return
	}
	a.rec.printf("%s: advice on %s about %d workers", a.name, recordName(body.Step), len(body.Workers))
	good := [][]string{}
	for _, id := range body.Workers {
		good = append(good, []string{id, "t-" + id + "-" + body.Step})
	}
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "valid-ms": ticketValid.Milliseconds()})
}

// caseAdvice sends jobs to four queues with advice. With trouble, some jobs come at once.
func caseAdvice(s *system, trouble bool) (string, error) {
	queues, err := s.advisedQueues([]string{"counterdesk", "stockroom", "webshop", "stalltill"})
	if err != nil {
		return "", err
	}
	advisers, err := s.startAdvisers()
	if err != nil {
		return "", err
	}
	if err := s.startAll(6 * time.Second); err != nil {
		return "", err
	}
	accepted := s.sendAdvised(queues, trouble)
	s.rec.printf("end of the traffic")
	time.Sleep(finishTime)
	idle := s.withoutStart(accepted)
	for id, q := range idle {
		s.rec.printf("nothing of %s of %s has run", id, q.name)
	}
	for _, a := range advisers {
		s.rec.printf("%s: %d calls for advice were answered, %d of them when the caller had gone", a.name, a.served.Load(), a.unheard.Load())
	}
	s.rec.printf("%d of %d accepted jobs have not begun", len(idle), len(accepted))
	if len(idle) > 0 {
		return fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running %.0f s after the end of the traffic, while their workers are empty",
			len(idle), len(accepted), finishTime.Seconds()), nil
	}
	return "", nil
}

// advisedQueues configures a queue with advice for each service, with 9 workers.
func (s *system) advisedQueues(services []string) (queues []queueConfig, err error) {
	for i, name := range services {
		queues = append(queues, queueConfig{name: "q-" + name, host: fmt.Sprintf("h%d.example", i), prefix: "/j/", service: name, attempts: 3, advised: true})
		for n := range 9 {
			if _, err := s.cloud.addMachine(name, n, 32000, 65536); err != nil {
				return nil, err
			}
		}
	}
	configure(s.store, 1, services, queues)
	return queues, nil
}

// startAdvisers starts a service for advice for each process, and names it in the settings.
func (s *system) startAdvisers() (advisers []*adviser, err error) {
	for _, p := range s.processes {
		a := &adviser{name: p.name, rec: s.rec, turn: make(chan struct{}, 1)}
		address, server, err := serve(a)
		if err != nil {
			return nil, err
		}
		s.servers, advisers = append(s.servers, server), append(advisers, a)
		if err := p.addSetting("  machines:", fmt.Sprintf("  advice: %q\n", address)); err != nil {
			return nil, err
		}
	}
	return advisers, nil
}

// sendAdvised sends the jobs and returns those that were accepted with their queues.
func (s *system) sendAdvised(queues []queueConfig, burst bool) map[string]queueConfig {
	var mu sync.Mutex
	var senders sync.WaitGroup
	accepted := map[string]queueConfig{}
	send := func(q queueConfig) {
		senders.Add(1)
		go func() {
			defer senders.Done()
			j := &jobSpec{Spec: "ordinary", id: newID(), service: q.service, attempts: q.attempts, Steps: []stepSpec{
				{Count: 6, CPU: 1800, MemoryMB: 1000, EstimateMS: 640, work: 640 * time.Millisecond},
			}}
			s.world.addJob(j)
			if s.caller.submit(q, j, 4, time.Now().Add(10*time.Second)) {
				mu.Lock()
				accepted[j.id] = q
				mu.Unlock()
			}
		}()
	}
	for began := time.Now(); time.Since(began) < adviceTraffic; time.Sleep(jobEvery) {
		n := 1
		if burst && time.Since(began) > burstAt {
			n, burst = burstJobs, false
			s.rec.printf("%d jobs come to each queue at once", n)
		}
		for _, q := range queues {
			for range n {
				send(q)
			}
		}
	}
	senders.Wait()
	return accepted
}

// withoutStart returns the jobs of which nothing runs for idleTime, and nothing ever has, while under half of
// the capacity of their service is in use.
func (s *system) withoutStart(accepted map[string]queueConfig) map[string]queueConfig {
	idle := map[string]queueConfig{}
	for id, q := range accepted {
		if s.caller.state(q, id) == "queued" {
			idle[id] = q
		}
	}
	for end := time.Now().Add(idleTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s.world.mu.Lock()
		for id, q := range idle {
			if s.world.hasRun(id) || !s.world.halfFree(q.service) {
				delete(idle, id)
			}
		}
		s.world.mu.Unlock()
	}
	return idle
}

// hasRun reports whether a task of a job has begun.
func (w *world) hasRun(id string) bool {
	for t := range w.tasks {
		if t.job == id {
			return true
		}
	}
	return false
}

// halfFree reports whether under half of the capacity of a service is in use.
func (w *world) halfFree(service string) bool {
	used, all := 0, 0
	for _, k := range w.workers {
		if k.service == service && k.up {
			cpu, _ := k.used()
			used, all = used+cpu, all+k.cpu
		}
	}
	return 2*used < all
}
