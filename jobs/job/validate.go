package job

import (
	"fmt"
	"time"
)

// Limits of a job. They bound the memory that one job uses.
const (
	MaxSpecBytes      = 4000
	MaxSteps          = 256
	MaxTasks          = 10_000
	MaxOccurrences    = 10_000
	maxResourceAmount = 1 << 40
	// MaxEstimate is the longest estimate that is kept of a step. Estimates are added up along the steps of a job.
	MaxEstimate = 30 * 24 * time.Hour
)

const idDigits = 16

// ValidID reports whether id consists of exactly 16 hexadecimal digits.
func ValidID(id ID) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Validate returns an error for the first invalid field of the job, and nil when
// the job is valid.
func (j *Job) Validate() error {
	switch {
	case !ValidID(j.ID):
		return fmt.Errorf("job id %q: want %d hexadecimal digits", j.ID, idDigits)
	case len(j.Spec) > MaxSpecBytes:
		return fmt.Errorf("spec has %d bytes, more than %d", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("%d steps: want 1 to %d", len(j.Steps), MaxSteps)
	case j.ScheduledOccurrences < 0 || j.ScheduledOccurrences > MaxOccurrences:
		return fmt.Errorf("%d occurrences: want 0 to %d", j.ScheduledOccurrences, MaxOccurrences)
	case j.Interval < 0 || j.Interval > 24*365*time.Hour:
		return fmt.Errorf("interval %v is out of range", j.Interval)
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		total += j.Steps[i].Count
	}
	if total*j.Occurrences() > MaxTasks {
		return fmt.Errorf("%d tasks in %d occurrences: want at most %d in all", total, j.Occurrences(), MaxTasks)
	}
	return nil
}

func (s *Step) validate(stepNumber int) error {
	r := s.Resources
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return fmt.Errorf("count %d: want 1 to %d", s.Count, MaxTasks)
	case r.CPU < 0 || r.MemoryMB < 0 || r.GPU < 0 || r.CPU > maxResourceAmount || r.MemoryMB > maxResourceAmount || r.GPU > maxResourceAmount:
		return fmt.Errorf("resources %+v are out of range", r)
	case s.MaxPerWorker < 0 || s.MaxDisrupted < 0 || s.LatencyTarget < 0 || s.Estimate < 0:
		return fmt.Errorf("a bound is negative")
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= stepNumber {
			return fmt.Errorf("after %d: want an earlier step", dependency)
		}
	}
	return nil
}
