package main

import (
	"fmt"
	"time"
)

func init() { cases["schedule"] = registered{3, caseSchedule} }

const (
	// month is the time between two runs of a monthly job.
	month = 30 * 24 * time.Hour
	// yearOfMonths and openEnded are the occurrences of a job that runs for a year, and of one that is
	// meant to run until it is cancelled.
	yearOfMonths = 12
	openEnded    = 4000
	// scheduleWatch is how long the workers are watched.
	scheduleWatch = 20 * time.Second
)

// caseSchedule hands in a monthly job whose first run is due in an hour. With trouble it has no end in
// sight.
func caseSchedule(s *system, trouble bool) (string, error) {
	q := queueConfig{name: "ledger-close", host: "a.example", prefix: "/a/", service: "stalltill", attempts: 3}
	configure(s.store, 1, []string{"stalltill"}, []queueConfig{q})
	for i := range 9 {
		if _, err := s.cloud.addMachine("stalltill", i, 32000, 65536); err != nil {
			return "", err
		}
	}
	if err := s.startAll(6 * time.Second); err != nil {
		return "", err
	}
	times := yearOfMonths
	if trouble {
		times = openEnded
	}
	j := &jobSpec{
		Spec: "close the ledger", id: newID(), service: q.service, attempts: q.attempts, Times: times,
		StartMS: time.Now().Add(time.Hour).UnixMilli(), IntervalMS: month.Milliseconds(),
		Steps: []stepSpec{{Count: 1, CPU: 1800, MemoryMB: 1000, EstimateMS: 640, work: 640 * time.Millisecond}},
	}
	s.world.addJob(j)
	if !s.caller.submit(q, j, 4, time.Now().Add(10*time.Second)) {
		return "", fmt.Errorf("the job was not accepted")
	}
	time.Sleep(scheduleWatch)
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.rec.printf("%d runs were started, none is due", s.world.starts)
	if len(s.world.broken) > 0 {
		return fmt.Sprintf("%d runs were started before their time; the first: %s", s.world.starts, s.world.broken[0]), nil
	}
	return "", nil
}
