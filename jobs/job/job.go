package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"peridotcrank.dev/jobs/bounded"
)

// ID identifies a job. The caller chooses it: 16 hexadecimal digits.
type ID string

// Queue is the name of a job queue.
type Queue string

// Workspace is the name of a workspace: a team with keys, a weight and a cap of its own.
// It is empty for jobs that belong to none.
type Workspace string

// Resources are the amounts that a task requires or a worker provides.
type Resources struct {
	CPU      int64 // Thousandths of a core.
	MemoryMB int64
	GPU      int64
}

// Fits reports whether each amount of r is at most that of available.
func (r Resources) Fits(available Resources) bool {
	return r.CPU <= available.CPU && r.MemoryMB <= available.MemoryMB && r.GPU <= available.GPU
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(other Resources) Resources {
	return Resources{bounded.Sum(r.CPU, other.CPU), bounded.Sum(r.MemoryMB, other.MemoryMB), bounded.Sum(r.GPU, other.GPU)}
}

// Minus returns the difference of both amounts.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.CPU - other.CPU, r.MemoryMB - other.MemoryMB, r.GPU - other.GPU}
}

// Times returns n times the amounts.
func (r Resources) Times(n int) Resources {
	return Resources{bounded.Product(r.CPU, n), bounded.Product(r.MemoryMB, n), bounded.Product(r.GPU, n)}
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count     int
	Resources Resources
	// Estimate is the task duration that the caller declared, at most MaxEstimate. It can be far from
	// the actual duration.
	Estimate time.Duration
	// After lists the indexes of earlier steps. All their tasks must be done before
	// a task of this step starts.
	After []int
	// Gang requires that all tasks of the step run at the same time: when one ends,
	// the others end too.
	Gang bool
	// SameRack marks tasks that are slow when they are spread over several racks.
	SameRack bool
	// RequiredLabel is a label that the worker must have; empty for none.
	RequiredLabel string
	// PreferredRack is the rack that holds the input data; empty for none.
	PreferredRack string
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int
	Speculative  bool
	Checkpoint   bool
	// LongRunning marks tasks that run until the job is cancelled.
	LongRunning bool
	Image       string
	// LatencyTarget is the highest latency allowed for a serving task; 0 means none.
	LatencyTarget time.Duration
	// BestEffortCPU marks tasks that use only the CPU time left by other tasks.
	BestEffortCPU bool
	// MaxDisrupted limits the tasks that the system makes unavailable at the same
	// time; 0 means no limit.
	MaxDisrupted int
}

// ReservedResources returns the capacity that a task reserves on its worker. A
// task with BestEffortCPU reserves no CPU.
func (s *Step) ReservedResources() Resources {
	r := s.Resources
	if s.BestEffortCPU {
		r.CPU = 0
	}
	return r
}

// Job is the specification of a job as submitted by the caller.
type Job struct {
	ID    ID
	Queue Queue
	// Workspace is the owner of the job; empty on public routes and on sites without
	// workspaces.
	Workspace Workspace
	Spec      string
	Steps     []Step
	// ScheduledOccurrences is the number of occurrences of a scheduled job; 0 for a
	// job that runs once and immediately.
	ScheduledOccurrences int
	Start                time.Time
	Interval             time.Duration
	Accepted             time.Time
	// IDPart is the part of the table service that has the row of the ID; empty for that of the
	// job's pool.
	IDPart string
}

// Occurrences returns how many times the steps run; at least 1.
func (j *Job) Occurrences() int { return max(j.ScheduledOccurrences, 1) }

// Due returns the earliest start time of an occurrence; the zero time means
// immediately.
func (j *Job) Due(occurrence int) time.Time {
	if j.ScheduledOccurrences == 0 {
		return time.Time{}
	}
	// In seconds, since the time until the last occurrence may exceed a time.Duration.
	seconds, rest := int64(j.Interval/time.Second), int64(j.Interval%time.Second)
	return time.Unix(j.Start.Unix()+int64(occurrence)*seconds, int64(j.Start.Nanosecond())+int64(occurrence)*rest)
}

// LongRunning reports whether any step of the job runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// TaskRef identifies a task by its job, occurrence, step and index in the step.
type TaskRef struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task name: job, occurrence, step and index, joined by dots.
func (t TaskRef) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step: job, occurrence and step, joined
// by dots.
func (t TaskRef) StepName() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskRef parses a task name as returned by [TaskRef.String]. It returns an
// error when the name does not have four parts or a part is not a number.
func ParseTaskRef(name string) (TaskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskRef{}, fmt.Errorf("invalid task name %q: expected four parts separated by dots", name)
	}
	ref := TaskRef{Job: ID(parts[0])}
	for i, field := range []*int{&ref.Occurrence, &ref.Step, &ref.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskRef{}, fmt.Errorf("invalid task name %q: part %d is not a non-negative integer", name, i+2)
		}
		*field = n
	}
	return ref, nil
}

// State is the lifecycle state of a job; the zero value means no state.
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

// String returns the lower-case name of the state, or "none" for the zero value.
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
