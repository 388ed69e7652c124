// Package verify checks the guarantees by comparing the outcomes that callers received with
// the requests that backend servers ran.
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

// Result holds the findings of a comparison.
type Result struct {
	Runs     int       `json:"runs"`
	Overrun  int       `json:"overrun"` // Runs that started on a VM with all slots in use.
	Findings []Finding `json:"findings"`
}

// Compare checks that callers receive the response to their own request, that a
// non-idempotent request runs at most once, and that a VM serves one pool at a time.
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
			result.addFinding("a non-idempotent request runs at most once", "key %s ran %d times", key, len(ran))
		}
	}
	for _, record := range report.Records {
		checkRecord(&result, record, byKey[record.Key])
	}
	checkPools(&result, runs)
	return result
}

func checkRecord(result *Result, record load.Record, ran []backend.Run) {
	for _, outcome := range record.Outcomes {
		switch outcome {
		case load.Wrong:
			result.addFinding("a caller receives the whole answer to its own request", "request %s got another answer", record.Request)
		case load.NoHeader:
			result.addFinding("every response carries an outcome", "request %s got none", record.Request)
		}
	}
	if record.Key == "" {
		return
	}
	last := record.LastOutcome()
	if last == load.NotRun && len(ran) > 0 {
		result.addFinding("a request reported as not run was not run", "key %s ran on %s, outcomes %v", record.Key, ran[0].VM, record.Outcomes)
	}
	if last == load.Answered && len(ran) == 0 {
		result.addFinding("an answer comes from a backend server", "key %s was answered and never ran", record.Key)
	}
}

// checkPools checks that a VM never runs requests of two pools at the same time, and runs no
// request of its former pool after it has moved to another.
func checkPools(result *Result, runs []backend.Run) {
	byVM := make(map[string][]backend.Run)
	for _, run := range runs {
		byVM[run.VM] = append(byVM[run.VM], run)
	}
	for vm, list := range byVM {
		sort.SliceStable(list, func(i, j int) bool { return list[i].Start < list[j].Start })
		leftPools := make(map[string]bool)
		var latestEnd int64
		for i, run := range list {
			if i > 0 && run.Service != list[i-1].Service {
				leftPools[list[i-1].Service] = true
				if run.Start < latestEnd {
					result.addFinding("a VM belongs to exactly one pool", "%s ran %s while %s was running", vm, run.Service, list[i-1].Service)
				}
			}
			if leftPools[run.Service] {
				result.addFinding("a VM belongs to exactly one pool", "%s ran %s after it had left its pool", vm, run.Service)
			}
			latestEnd = max(latestEnd, run.End)
		}
	}
}

func (r *Result) addFinding(guarantee, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
}
