package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = registered{3, caseMemory} }

const (
	// memoryLimit is memory-mb of a small deployment's machines.
	memoryLimit = 284 << 20
	// restartDelay is the short delay after which the platform restarts a process.
	restartDelay = 500 * time.Millisecond
	// trafficTime is how long jobs are handed in.
	trafficTime = 60 * time.Second
	// schedules is the number of scheduled jobs that come at once.
	schedules = 120
	// occurrences are those of a job that runs every 10 s for a day.
	occurrences     = 8640
	occurrenceEvery = 10 * time.Second
	// finishTime is finish_s.
	finishTime = 14 * time.Second
	// endsForFault and machinesForFault are those of the rule Fault.
	endsForFault     = 3
	machinesForFault = 2
)

// memoryKeeper kills processes that exceed memoryLimit and restarts all that have ended, as the
// platform does.
type memoryKeeper struct {
	s    *system
	mu   sync.Mutex
	ends map[string]int
	peak map[string]int64
	stop chan struct{}
	done chan struct{}
}

func keepMemory(s *system) *memoryKeeper {
	k := &memoryKeeper{s: s, ends: map[string]int{}, peak: map[string]int64{}, stop: make(chan struct{}), done: make(chan struct{})}
	go k.run()
	return k
}

func (k *memoryKeeper) run() {
	defer close(k.done)
	for {
		select {
		case <-k.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, p := range k.s.processes {
			k.check(p)
		}
	}
}

func (k *memoryKeeper) check(p *process) {
	if !p.running() {
		return
	}
	used := p.memory()
	k.mu.Lock()
	k.peak[p.name] = max(k.peak[p.name], used)
	k.mu.Unlock()
	if used <= memoryLimit {
		return
	}
	k.s.rec.printf("%s takes %d MiB, more than %d: killed by the platform", p.name, used>>20, memoryLimit>>20)
	p.signal(syscall.SIGKILL)
	k.mu.Lock()
	k.ends[p.name]++
	k.mu.Unlock()
	p.end()
	time.AfterFunc(restartDelay, func() {
		select {
		case <-k.stop:
		default:
			_ = p.start()
		}
	})
}

func (k *memoryKeeper) close() {
	close(k.stop)
	<-k.done
}

// caseMemory hands in scheduled jobs that are due much later, beside ordinary jobs. With trouble
// each one has many occurrences.
func caseMemory(s *system, trouble bool) (string, error) {
	q := queueConfig{name: "slip-batch", host: "a.example", prefix: "/a/", service: "stockroom", attempts: 3}
	configure(s.store, 1, []string{"stockroom"}, []queueConfig{q})
	for i := range 9 {
		if _, err := s.cloud.addMachine("stockroom", i, 32000, 65536); err != nil {
			return "", err
		}
	}
	if err := s.startAll(6 * time.Second); err != nil {
		return "", err
	}
	keeper := keepMemory(s)
	times := 8
	if trouble {
		times = occurrences
	}
	var mu sync.Mutex
	accepted := map[string]bool{}
	end := time.Now().Add(trafficTime)
	hand := func(j *jobSpec) {
		s.world.addJob(j)
		if s.caller.submit(q, j, 4, end) {
			mu.Lock()
			accepted[j.id] = j.Times == 0
			mu.Unlock()
		}
	}
	var senders sync.WaitGroup
	senders.Add(2)
	go func() {
		defer senders.Done()
		for range schedules {
			if time.Now().After(end) {
				return
			}
			hand(&jobSpec{
				Spec: "scheduled", id: newID(), service: q.service, attempts: q.attempts, Times: times,
				StartMS: time.Now().Add(time.Hour).UnixMilli(), IntervalMS: occurrenceEvery.Milliseconds(),
				Steps: []stepSpec{{Count: 1, CPU: 500, MemoryMB: 100, EstimateMS: 600, work: 600 * time.Millisecond}},
			})
		}
	}()
	go func() {
		defer senders.Done()
		for ; time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			senders.Add(1)
			go func() {
				defer senders.Done()
				hand(&jobSpec{
					Spec: "ordinary", id: newID(), service: q.service, attempts: q.attempts,
					Steps: []stepSpec{{Count: 6, CPU: 1800, MemoryMB: 1000, EstimateMS: 640, work: 640 * time.Millisecond}},
				})
			}()
		}
	}()
	senders.Wait()
	s.rec.printf("end of the traffic, %d jobs were accepted", len(accepted))
	time.Sleep(finishTime)
	unanswered, unfinished := s.askForAll(q, accepted)
	keeper.close()
	machines := 0
	for _, p := range s.processes {
		s.rec.printf("%s: %d times over the memory limit, at most %d MiB", p.name, keeper.ends[p.name], keeper.peak[p.name]>>20)
		if keeper.ends[p.name] >= endsForFault {
			machines++
		}
	}
	s.rec.printf("of %d accepted jobs %d got no answer, %d ordinary ones were not completed", len(accepted), unanswered, unfinished)
	if machines >= machinesForFault {
		return fmt.Sprintf("Fault: processes on %d of %d machines exceeded their memory %d times or more; of %d accepted jobs %d got no answer at the end, %d ordinary ones were not completed",
			machines, len(s.processes), endsForFault, len(accepted), unanswered, unfinished), nil
	}
	return "", nil
}

// askForAll asks for the state of all accepted jobs, and returns how many give no answer and how
// many ordinary ones are not completed.
func (s *system) askForAll(q queueConfig, accepted map[string]bool) (unanswered, unfinished int) {
	var mu sync.Mutex
	var askers sync.WaitGroup
	for id, ordinary := range accepted {
		askers.Add(1)
		go func() {
			defer askers.Done()
			state := s.caller.state(q, id)
			if state == "" {
				state = s.caller.state(q, id)
			}
			mu.Lock()
			defer mu.Unlock()
			if state == "" || state == "gone" {
				unanswered++
			}
			if ordinary && state != "completed" {
				unfinished++
			}
		}()
	}
	askers.Wait()
	return unanswered, unfinished
}
