package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["pace"] = registered{3, casePace} }

const (
	// harmTime is harm-ms, and stableTime is stable-window-ms.
	harmTime   = 4 * time.Second
	stableTime = 3 * time.Second
	// heldUpFor is how long the order is held up: applied_late carries orders out 2 to 12 s later.
	heldUpFor = 6 * time.Second
)

// harm is a span in which a task is over its target because of those that fill beside it.
type harm struct {
	task    taskName
	worker  string
	longest time.Duration
}

// casePace runs a job whose tasks serve and one whose tasks fill beside them. With trouble one order
// on pace is not answered and carried out later.
func casePace(s *system, trouble bool) (string, error) {
	q := queueConfig{name: "slip-batch", host: "a.example", prefix: "/a/", service: "stockroom", attempts: 3}
	configure(s.store, 1, []string{"stockroom"}, []queueConfig{q})
	var mu sync.Mutex
	var heldUpAt time.Time
	paces := map[string]int{}
	for i := range 9 {
		w, err := s.cloud.addMachine("stockroom", i, 32000, 65536)
		if err != nil {
			return "", err
		}
		w.tailAt = heavyTail
		w.delay = func(path string, o order) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if path != "/pace" {
				return 0
			}
			paces[w.id]++
			s.rec.printf("order on pace to %s: %s to %d", w.id, recordName(o.Task), o.Percent)
			if trouble && heldUpAt.IsZero() && o.Percent < 100 && o.Percent > 0 {
				heldUpAt = time.Now()
				return heldUpFor
			}
			return 0
		}
	}
	if err := s.startAll(6 * time.Second); err != nil {
		return "", err
	}
	serving := &jobSpec{Spec: "serves", id: newID(), service: q.service, attempts: q.attempts, Steps: []stepSpec{{
		Count: 5, CPU: 3000, MemoryMB: 11000, EstimateMS: 900, Lasts: true, Image: "shop", TargetMS: 200, MaxDisrupted: 1, MaxPerServer: 1,
	}}}
	filling := &jobSpec{Spec: "fills", id: newID(), service: q.service, attempts: q.attempts, Steps: []stepSpec{{
		Count: 9, CPU: 3000, MemoryMB: 4000, EstimateMS: 900, Lasts: true, Image: "index", Fills: true, MaxPerServer: 1,
	}}}
	for _, j := range []*jobSpec{serving, filling} {
		s.world.addJob(j)
		if !s.caller.submit(q, j, 4, time.Now().Add(10*time.Second)) {
			return "", fmt.Errorf("job %s was not accepted", j.id)
		}
		time.Sleep(2 * time.Second)
	}
	// What follows is judged: until then everything has come to rest, or the order is held up.
	calmFrom := time.Now().Add(10 * time.Second)
	if trouble {
		calmFrom = calmFrom.Add(heldUpFor + stableTime)
	}
	worst := s.watchHarm(calmFrom, calmFrom.Add(20*time.Second))
	mu.Lock()
	defer mu.Unlock()
	if trouble && heldUpAt.IsZero() {
		return "", fmt.Errorf("no order on pace was sent")
	}
	if worst.longest >= harmTime {
		return fmt.Sprintf("HARM: %v on %s was over its target for %.1f s on end, from %.0f s after the late order was carried out", worst.task, worst.worker,
			worst.longest.Seconds(), calmFrom.Sub(heldUpAt.Add(heldUpFor)).Seconds()), nil
	}
	s.rec.printf("longest time over a target: %.1f s", worst.longest.Seconds())
	return "", nil
}

// heavyTail is the tail of a task that serves: 0.9 of its target, and twice the target more for
// each task that fills beside it at full pace.
func heavyTail(target float64, fillingPace int) float64 {
	return target * (0.9 + 2*float64(fillingPace)/100)
}

// watchHarm returns the longest time, between two moments, in which a task that serves is over its
// target and would be under it without those that fill, while these work on.
func (s *system) watchHarm(from, to time.Time) (worst harm) {
	since := map[taskName]time.Time{}
	for time.Now().Before(to) {
		time.Sleep(50 * time.Millisecond)
		if time.Now().Before(from) {
			continue
		}
		s.world.mu.Lock()
		for _, k := range s.world.workers {
			for t, byRun := range k.runs {
				for _, r := range byRun {
					if r.step.TargetMS == 0 {
						continue
					}
					if k.tail(r) <= float64(r.step.TargetMS) {
						delete(since, t)
						continue
					}
					if since[t].IsZero() {
						since[t] = time.Now()
						s.rec.printf("%v on %s is over its target: %.0f of %d ms", t, k.id, k.tail(r), r.step.TargetMS)
					}
					if d := time.Since(since[t]); d > worst.longest {
						worst = harm{t, k.id, d}
					}
				}
			}
		}
		s.world.mu.Unlock()
	}
	return worst
}
