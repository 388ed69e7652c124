package metrics

import (
	"context"
	"errors"
	"math"

	"go.opentelemetry.io/otel/metric"
)

// runCounters count what makes a task run twice or a worker exceed its capacity.
type runCounters struct {
	removed   *labelledCounter
	restarted *labelledCounter
	workers   *labelledCounter
	missing   metric.Int64Counter
}

// CountRemovedRun counts a run that no longer counts although no end of it was applied,
// by reason.
func (m *Metrics) CountRemovedRun(reason string) { m.runs.removed.add(reason, "") }

// CountRestartedTask counts a task that is started again, by why its last run does not
// count.
func (m *Metrics) CountRestartedTask(reason string) { m.runs.restarted.add(reason, "") }

// CountWorkerRestart counts a worker that restarted under the same id, by what revealed
// the restart.
func (m *Metrics) CountWorkerRestart(seenIn string) { m.runs.workers.add(seenIn, "") }

// CountMissingEnds counts ends of runs that a worker no longer lists and that were never
// applied.
func (m *Metrics) CountMissingEnds(n uint64) {
	m.runs.missing.Add(context.Background(), int64(min(n, math.MaxInt32)))
}

func (m *Metrics) createRunCounters(meter metric.Meter) error {
	var errs [4]error
	m.runs.removed, errs[0] = newLabelledCounter(meter, "runs.removed", "Runs that no longer count although no end of them was applied, by reason.", "reason")
	m.runs.restarted, errs[1] = newLabelledCounter(meter, "tasks.restarted", "Tasks started again after a run that did not end as done or failed, by why that run no longer counts.", "reason")
	m.runs.workers, errs[2] = newLabelledCounter(meter, "worker.restarts", "Workers that restarted under the same id, by what revealed the restart.", "seen_in")
	m.runs.missing, errs[3] = meter.Int64Counter("run.ends.missing", metric.WithDescription("Ends of runs that a worker no longer lists and that were never applied."))
	return errors.Join(errs[:]...)
}
