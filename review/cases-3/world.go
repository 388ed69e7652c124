package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stepSpec is a step of a job as its client sends it, with what the stand-in of the workers
// needs to know of its tasks.
type stepSpec struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemoryMB     int    `json:"mem-mb,omitempty"`
	EstimateMS   int    `json:"est-ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Label        string `json:"required-label,omitempty"`
	MaxPerServer int    `json:"max-per-server,omitempty"`
	Speculative  bool   `json:"speculative,omitempty"`
	Checkpoint   bool   `json:"checkpoint,omitempty"`
	Lasts        bool   `json:"long-running,omitempty"`
	Image        string `json:"image,omitempty"`
	TargetMS     int    `json:"target-ms,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
	MaxDisrupted int    `json:"max-disrupted,omitempty"`

	work  time.Duration             // Of each task.
	fails func(index, run int) bool // Nil for never.
}

// jobSpec is a job as its client sends it.
type jobSpec struct {
	Spec       string     `json:"spec"`
	Steps      []stepSpec `json:"steps"`
	Times      int        `json:"times,omitempty"`
	StartMS    int64      `json:"start-ms,omitempty"`
	IntervalMS int64      `json:"interval-ms,omitempty"`

	id       string
	service  string
	attempts int
}

// taskName is a decoded name of a task.
type taskName struct {
	job              string
	occurrence, step int
	index            int
}

func parseTask(name string) (taskName, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskName{}, fmt.Errorf("bad name of a task: %q", name)
	}
	t := taskName{job: parts[0]}
	for i, field := range []*int{&t.occurrence, &t.step, &t.index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return taskName{}, err
		}
		*field = n
	}
	return t, nil
}

// wire returns the name as the protocol has it.
func (t taskName) wire() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.job, t.occurrence, t.step, t.index)
}

// String returns the name for the record, which does not look like an address.
func (t taskName) String() string { return recordName(t.wire()) }

// recordName returns the name of a task or a step for the record.
func recordName(wire string) string { return strings.ReplaceAll(wire, ".", "/") }

// taskRecord is what all workers together have seen of a task.
type taskRecord struct {
	running map[*simRun]bool
	done    *simEnd // The first end as done.
	failed  []*simEnd
	saved   map[string]bool
	lastEnd time.Time
	// startedAfterDone is a start after done was listed but before it was taken note of.
	startedAfterDone string
}

// world is the referee: it keeps what all workers have seen and notes broken rules.
type world struct {
	mu       sync.Mutex
	rec      *recorder
	jobs     map[string]*jobSpec
	tasks    map[taskName]*taskRecord
	workers  map[string]*simWorker
	broken   []string
	gangWait time.Duration
	starts   int
	ends     map[string]int
}

func newWorld(rec *recorder) *world {
	return &world{rec: rec, jobs: map[string]*jobSpec{}, tasks: map[taskName]*taskRecord{}, workers: map[string]*simWorker{}, gangWait: 3 * time.Second, ends: map[string]int{}}
}

func (w *world) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.rec.printf("BROKEN %s", text)
}

func (w *world) task(t taskName) *taskRecord {
	r := w.tasks[t]
	if r == nil {
		r = &taskRecord{running: map[*simRun]bool{}, saved: map[string]bool{}}
		w.tasks[t] = r
	}
	return r
}

// addJob makes a job known before its client sends it.
func (w *world) addJob(j *jobSpec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.id] = j
}

// checkStart checks a start that a worker is about to begin. late marks a start that was
// carried out late.
func (w *world) checkStart(on *simWorker, r *simRun, late bool) {
	w.starts++
	t := r.task
	j := w.jobs[t.job]
	if j == nil || t.step >= len(j.Steps) || t.index >= j.Steps[t.step].Count || t.occurrence >= max(j.Times, 1) {
		w.breakRule("UNASKED start of %v on %s: nobody sent it", t, on.id)
		return
	}
	step := &j.Steps[t.step]
	if r.spec != j.Spec {
		w.breakRule("UNASKED start of %v with another spec", t)
	}
	if on.service != j.service {
		w.breakRule("ROUTE start of %v on %s of service %s", t, on.id, on.service)
	}
	if step.Label != "" && !on.hasLabel(step.Label) && !late {
		w.breakRule("ROUTE start of %v on %s without label %s", t, on.id, step.Label)
	}
	record := w.task(t)
	if r.savedIn != "" && !w.isSaved(t, step, r.savedIn) {
		w.breakRule("UNASKED start of %v with saved %q that is not the task's", t, r.savedIn)
	}
	for other := range record.running {
		if !step.Speculative && other.worker.up {
			w.breakRule("TWICE %v run %d on %s while run %d is on %s (late %v)", t, r.number, on.id, other.number, other.worker.id, late)
		}
	}
	if d := record.done; d != nil && !step.Lasts && !step.Speculative {
		text := fmt.Sprintf("TWICE %v run %d on %s after run %d ended done on %s", t, r.number, on.id, d.run, d.worker.id)
		if d.noted() {
			w.breakRule("%s (noted before)", text)
		} else if !d.void {
			record.startedAfterDone = text
		}
	}
	for _, before := range step.After {
		for i := range j.Steps[before].Count {
			if b := w.tasks[taskName{t.job, t.occurrence, before, i}]; b == nil || b.done == nil {
				w.breakRule("ORDER start of %v before %d of step %d is done", t, i, before)
			}
		}
	}
	if j.Times > 0 {
		due := time.UnixMilli(j.StartMS + int64(t.occurrence)*j.IntervalMS)
		if early := time.Until(due); early > 250*time.Millisecond {
			w.breakRule("ORDER start of %v %v before its time", t, early)
		}
	}
	if n := len(w.failedRuns(t, step)); !step.Lasts && n >= j.attempts {
		w.breakRule("BUDGET start of %v after %d failed runs", t, n)
	}
	if step.MaxPerServer > 0 && on.countStep(t) >= step.MaxPerServer && !late {
		w.breakRule("ROUTE start of %v on %s beyond max-per-server", t, on.id)
	}
	cpu, mem := on.used()
	if !step.Fills {
		cpu += step.CPU
	}
	if cpu > on.cpu || mem+step.MemoryMB > on.memory {
		w.breakRule("LIMIT start of %v on %s: %d of %d cpu, %d of %d MB", t, on.id, cpu, on.cpu, mem+step.MemoryMB, on.memory)
	}
}

// failedRuns returns the distinct runs of a task, or its gang, that failed and were noted.
func (w *world) failedRuns(t taskName, step *stepSpec) map[int]bool {
	runs := map[int]bool{}
	collect := func(name taskName) {
		if r := w.tasks[name]; r != nil {
			for _, e := range r.failed {
				if e.noted() {
					runs[e.run] = true
				}
			}
		}
	}
	if !step.Gang {
		collect(t)
		return runs
	}
	for i := range step.Count {
		t.index = i
		collect(t)
	}
	return runs
}

func (w *world) isSaved(t taskName, step *stepSpec, saved string) bool {
	if !step.Gang {
		return w.task(t).saved[saved]
	}
	for i := range step.Count {
		t.index = i
		if w.task(t).saved[saved] {
			return true
		}
	}
	return false
}

// gangPresent returns all members of a gang's run if they are present, or nil.
func (w *world) gangPresent(t taskName, number, count int) []*simRun {
	var members []*simRun
	for i := range count {
		t.index = i
		found := false
		for r := range w.task(t).running {
			if r.number == number && !r.stopping {
				members, found = append(members, r), true
			}
		}
		if !found {
			return nil
		}
	}
	return members
}
