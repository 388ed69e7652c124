package job

import (
	"fmt"
	"time"
)

// Bounds of a job. They keep the memory that one job takes small.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 256
	MaxTasks       = 10_000
	MaxOccurrences = 10_000
	maxAmount      = 1 << 40
)

const idDigits = 16

// ValidID reports whether id has the form of a job's identity.
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

// Validate reports the first fault of a job.
func (j *Job) Validate() error {
	switch {
	case !ValidID(j.ID):
		return fmt.Errorf("job id %q: want %d hexadecimal digits", j.ID, idDigits)
	case len(j.Spec) > MaxSpecBytes:
		return fmt.Errorf("spec has %d bytes, more than %d", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("%d steps: want 1 to %d", len(j.Steps), MaxSteps)
	case j.Times < 0 || j.Times > MaxOccurrences:
		return fmt.Errorf("%d occurrences: want 0 to %d", j.Times, MaxOccurrences)
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

func (s *Step) validate(number int) error {
	r := s.Resources
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return fmt.Errorf("count %d: want 1 to %d", s.Count, MaxTasks)
	case r.CPU < 0 || r.MemoryMB < 0 || r.GPU < 0 || r.CPU > maxAmount || r.MemoryMB > maxAmount || r.GPU > maxAmount:
		return fmt.Errorf("resources %+v are out of range", r)
	case s.MaxPerWorker < 0 || s.MaxDisrupted < 0 || s.Target < 0 || s.Estimate < 0:
		return fmt.Errorf("a bound is negative")
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return fmt.Errorf("after %d: want an earlier step", before)
		}
	}
	return nil
}
