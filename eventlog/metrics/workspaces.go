package metrics

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// WorkspaceJobs are the jobs of a workspace in the pools that a process owns.
type WorkspaceJobs struct {
	Workspace                string
	Running, Waiting, Excess int
}

// CountExcessJob counts a job in excess of the weight of its workspace by what became of
// it. The caller bounds the number of workspaces.
func (m *Metrics) CountExcessJob(workspace, outcome string) { m.excessJobs.add(workspace, outcome) }

// ObserveWorkspaces registers a function that returns the current jobs by workspace each
// time metrics are collected. It bounds the number of workspaces. Call it only once.
func (m *Metrics) ObserveWorkspaces(read func() []WorkspaceJobs) error {
	meter := m.provider.Meter(meterName)
	jobs, err := meter.Int64ObservableGauge("workspace.jobs",
		metric.WithDescription("Jobs in the pools that this process owns, by workspace and state; excess jobs wait as well."))
	if err != nil {
		return err
	}
	observe := func(_ context.Context, o metric.Observer) error {
		for _, w := range read() {
			o.ObserveInt64(jobs, int64(w.Running), labels("workspace", w.Workspace, "state", "running"))
			o.ObserveInt64(jobs, int64(w.Waiting), labels("workspace", w.Workspace, "state", "waiting"))
			o.ObserveInt64(jobs, int64(w.Excess), labels("workspace", w.Workspace, "state", "excess"))
		}
		return nil
	}
	_, err = meter.RegisterCallback(observe, jobs)
	return err
}

func (m *Metrics) createExcessCounter(meter metric.Meter) (err error) {
	m.excessJobs, err = newLabelledCounter(meter, "excess.jobs", "Jobs in excess of the weight of their workspace, by workspace and outcome.", "workspace", "outcome")
	return err
}
