// Package verify compares what callers were told with what backend servers ran.
package verify

import (
	"fmt"
	"sort"

	"peridotcrank.dev/testbed/backend"
	"peridotcrank.dev/testbed/load"
	"peridotcrank.dev/testbed/site"
)

// Finding is one broken guarantee.
type Finding struct {
	Guarantee string `json:"guarantee"`
	Detail    string `json:"detail"`
}

// Result is the outcome of a comparison.
type Result struct {
	Runs     int       `json:"runs"`
	Overrun  int       `json:"overrun"` // Runs that started on a VM with all slots in use.
	Findings []Finding `json:"findings"`
}

// Compare checks the guarantees on answers, at-most-once and pools.
func Compare(report *load.Report, runs []backend.Run) Result {
	result := Result{Runs: len(runs)}
	byKey := make(map[string][]backend.Run)
	for _, run := range runs {
		if run.Key != "" && run.Method == "POST" {
			byKey[run.Key] = append(byKey[run.Key], run)
		}
		if run.Running > site.SlotsPerWorker {
			result.Overrun++
		}
	}
	for key, ran := range byKey {
		if len(ran) > 1 {
			result.add("a non-idempotent request runs at most once", "key %s ran %d times", key, len(ran))
		}
	}
	for _, record := range report.Records {
		compareRecord(&result, record, byKey[record.Key])
	}
	comparePools(&result, runs)
	return result
}

func compareRecord(result *Result, record load.Record, ran []backend.Run) {
	for _, outcome := range record.Outcomes {
		switch outcome {
		case load.Wrong:
			result.add("a caller receives the whole answer to its own request", "request %s got another answer", record.Request)
		case load.NoHeader:
			result.add("every response carries an outcome", "request %s got none", record.Request)
		}
	}
	if record.Key == "" {
		return
	}
	last := record.Last()
	if last == load.NotRun && len(ran) > 0 {
		result.add("a request reported as not run was not run", "key %s ran on %s, outcomes %v", record.Key, ran[0].VM, record.Outcomes)
	}
	if last == load.Answered && len(ran) == 0 {
		result.add("an answer comes from a backend server", "key %s was answered and never ran", record.Key)
	}
}

// comparePools checks that the services of two pools never use a VM at once
// and that a VM which has moved on sees no request of its former pool.
func comparePools(result *Result, runs []backend.Run) {
	byVM := make(map[string][]backend.Run)
	for _, run := range runs {
		byVM[run.VM] = append(byVM[run.VM], run)
	}
	for vm, list := range byVM {
		sort.SliceStable(list, func(i, j int) bool { return list[i].Start < list[j].Start })
		left := make(map[string]bool)
		var end int64
		for i, run := range list {
			if i > 0 && run.Service != list[i-1].Service {
				left[list[i-1].Service] = true
				if run.Start < end {
					result.add("a VM belongs to exactly one pool", "%s ran %s while %s was running", vm, run.Service, list[i-1].Service)
				}
			}
			if left[run.Service] {
				result.add("a VM belongs to exactly one pool", "%s ran %s after it had left its pool", vm, run.Service)
			}
			end = max(end, run.End)
		}
	}
}

func (r *Result) add(guarantee, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
}
