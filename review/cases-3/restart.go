package main

import (
	"encoding/base64"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["restart"] = registered{3, caseRestart} }

const (
	// lastingGrace is the time after the last run of a lasting task from which LOST counts, calmTime is
	// how long it must have been calm before, and idleTime how long the task is not run then.
	lastingGrace = 6 * time.Second
	calmTime     = 4 * time.Second
	idleTime     = 3 * time.Second
	// processDown and rackDown are how long the process and the workers are down.
	processDown = time.Second
	rackDown    = time.Second
	// settleTime is the time from the kill of the process to the crash of the rack.
	settleTime = 9 * time.Second
)

// owner returns the process that the store names as the owner of a pool, or nil.
func (s *system) owner(pool string) *process {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	value, _ := base64.StdEncoding.DecodeString(s.store.rows[rowKey{"cluster", "", "owner/" + pool}].value)
	for _, p := range s.processes {
		if strings.Contains(string(value), p.name) {
			return p
		}
	}
	return nil
}

// caseRestart kills the owner of a pool, and then lets a rack of the pool's workers crash and start
// again under their ids, while a job with lasting tasks runs.
func caseRestart(s *system, trouble bool) (string, error) {
	q := queueConfig{name: "slip-batch", host: "a.example", prefix: "/a/", service: "stockroom", attempts: 3}
	ordinary := queueConfig{name: "stock-reserve", host: "a.example", prefix: "/b/", service: "stockroom", attempts: 3, prio: 1}
	configure(s.store, 1, []string{"stockroom"}, []queueConfig{q, ordinary})
	var workers []*simWorker
	for i := range 9 {
		w, err := s.cloud.addMachine("stockroom", i, 32000, 65536)
		if err != nil {
			return "", err
		}
		workers = append(workers, w)
	}
	if err := s.startAll(6 * time.Second); err != nil {
		return "", err
	}
	lasting := &jobSpec{Spec: "lasts", id: newID(), service: q.service, attempts: q.attempts, Steps: []stepSpec{{
		Count: 8, CPU: 2700, MemoryMB: 11000, EstimateMS: 900, Lasts: true, MaxDisrupted: 1, MaxPerServer: 1,
	}}}
	s.world.addJob(lasting)
	if !s.caller.submit(q, lasting, 4, time.Now().Add(10*time.Second)) {
		return "", fmt.Errorf("the lasting job was not accepted")
	}
	stop := make(chan struct{})
	defer close(stop)
	go s.sendOrdinary(ordinary, stop)
	time.Sleep(5 * time.Second)
	if trouble {
		if err := s.killOwner(q.service); err != nil {
			return "", err
		}
		time.Sleep(settleTime)
		for _, w := range workers[:4] {
			w.crash()
		}
		time.Sleep(rackDown)
		for _, w := range workers[:4] {
			w.comeBack(s.store)
		}
		s.rec.printf("the rack is back")
	}
	return s.watchIdle(lasting, time.Now(), 24*time.Second), nil
}

// killOwner kills the owner of a pool and starts it again, unless ONLY_RACK is set.
func (s *system) killOwner(pool string) error {
	p := s.owner(pool)
	if p == nil {
		return fmt.Errorf("the pool has no owner")
	}
	if os.Getenv("ONLY_RACK") != "" {
		return nil
	}
	s.rec.printf("kill of %s, the owner of %s", p.name, pool)
	p.signal(syscall.SIGKILL)
	p.end()
	time.Sleep(processDown)
	return p.start()
}

// sendOrdinary sends ordinary jobs until stop is closed.
func (s *system) sendOrdinary(q queueConfig, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(700 * time.Millisecond):
		}
		j := &jobSpec{Spec: "ordinary", id: newID(), service: q.service, attempts: q.attempts, Steps: []stepSpec{
			{Count: 6, CPU: 1800, MemoryMB: 1000, EstimateMS: 640, work: 640 * time.Millisecond},
		}}
		s.world.addJob(j)
		go s.caller.submit(q, j, 4, time.Now().Add(10*time.Second))
	}
}

// watchIdle checks the rule LOST for each task of a lasting job from the last disruption on.
func (s *system) watchIdle(j *jobSpec, calmFrom time.Time, length time.Duration) (broken string) {
	idleSince := map[int]time.Time{}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.world.mu.Lock()
		for i := range j.Steps[0].Count {
			record := s.world.task(taskName{j.id, 0, 0, i})
			if len(record.running) > 0 || s.world.roomFor(j) < 2 {
				delete(idleSince, i)
				continue
			}
			from := calmFrom.Add(calmTime)
			if after := record.lastEnd.Add(lastingGrace); after.After(from) {
				from = after
			}
			if time.Now().Before(from) {
				continue
			}
			if idleSince[i].IsZero() {
				idleSince[i] = time.Now()
			}
			if idle := time.Since(idleSince[i]); idle >= idleTime && broken == "" {
				broken = fmt.Sprintf("LOST: task %d of the lasting job has not run for %.1f s, %.1f s after the last disruption, with %d idle workers that have room for it",
					i, time.Since(record.lastEnd).Seconds(), time.Since(calmFrom).Seconds(), s.world.roomFor(j))
				s.rec.printf("%s", broken)
			}
		}
		s.world.mu.Unlock()
	}
	return broken
}

// roomFor returns how many workers that are up have room for a further task of the first step.
func (w *world) roomFor(j *jobSpec) (n int) {
	step := &j.Steps[0]
	for _, k := range w.workers {
		cpu, memory := k.used()
		if k.up && k.service == j.service && cpu+step.CPU <= k.cpu && memory+step.MemoryMB <= k.memory &&
			(step.MaxPerServer == 0 || k.countStep(taskName{j.id, 0, 0, 0}) < step.MaxPerServer) {
			n++
		}
	}
	return n
}
