package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ID identifies a job: 16 hexadecimal digits chosen by the caller.
type ID string

// Queue names a queue of jobs.
type Queue string

// Resources are amounts that a task takes and a worker has.
type Resources struct {
	CPU      int64 // Thousandths of a core.
	MemoryMB int64
	GPU      int64
}

// Fits reports whether r is at most available.
func (r Resources) Fits(available Resources) bool {
	return r.CPU <= available.CPU && r.MemoryMB <= available.MemoryMB && r.GPU <= available.GPU
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.CPU + other.CPU, r.MemoryMB + other.MemoryMB, r.GPU + other.GPU}
}

// Minus returns the difference of both amounts.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.CPU - other.CPU, r.MemoryMB - other.MemoryMB, r.GPU - other.GPU}
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count     int
	Resources Resources
	// Estimate is the declared duration of a task; it may be far off.
	Estimate time.Duration
	// After lists earlier steps whose tasks must all be done first.
	After []int
	// Gang tasks work only together and end together.
	Gang bool
	// SameRack tasks are slow when they run on more than one rack.
	SameRack bool
	// RequiredLabel is a label that the worker must have; empty for none.
	RequiredLabel string
	// PreferredRack holds the data; empty for none.
	PreferredRack string
	// MaxPerWorker bounds the tasks of the step on one worker; 0 for no bound.
	MaxPerWorker int
	Speculative  bool
	Checkpoint   bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	Image       string
	// Target is the latency below which a serving task must stay; 0 for none.
	Target time.Duration
	// Fills tasks take the processor that other tasks leave unused.
	Fills bool
	// MaxDisrupted bounds the tasks that the system makes unavailable at once; 0 for no bound.
	MaxDisrupted int
}

// Charge is what a task counts against the capacity of its worker.
func (s *Step) Charge() Resources {
	r := s.Resources
	if s.Fills {
		r.CPU = 0
	}
	return r
}

// Job is a job as it was submitted.
type Job struct {
	ID    ID
	Queue Queue
	Spec  string
	Steps []Step
	// Times is the number of occurrences; 0 for a job that runs once, at once.
	Times    int
	Start    time.Time
	Interval time.Duration
	Accepted time.Time
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(j.Times, 1) }

// Due returns when an occurrence may start; zero for at once.
func (j *Job) Due(occurrence int) time.Time {
	if j.Times == 0 {
		return time.Time{}
	}
	return j.Start.Add(time.Duration(occurrence) * j.Interval)
}

// LongRunning reports whether a step of the job runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// TaskRef identifies a task.
type TaskRef struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the name of the task.
func (t TaskRef) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step.
func (t TaskRef) StepName() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskRef reads the name of a task.
func ParseTaskRef(name string) (TaskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskRef{}, fmt.Errorf("task name %q: want four parts", name)
	}
	ref := TaskRef{Job: ID(parts[0])}
	for i, into := range []*int{&ref.Occurrence, &ref.Step, &ref.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskRef{}, fmt.Errorf("task name %q: part %d is not a number", name, i+2)
		}
		*into = n
	}
	return ref, nil
}

// State is the state of a job.
type State uint8

// States of a job.
const (
	Queued State = iota + 1
	Running
	Completed
	Failed
	Cancelled
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= Completed }

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Queued:
		return "queued"
	case Running:
		return "running"
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	}
	return "none"
}
