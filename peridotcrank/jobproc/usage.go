package jobproc

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"peridotcrank.dev/eventlog/metrics"
	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/shard"
	"peridotcrank.dev/jobs/workspaces"
)

const (
	// usageInterval is the time between two measurements of the use by workspaces.
	usageInterval = time.Second
	// maxLabelledWorkspaces is the number of workspaces that have labels of their own in
	// metrics.
	maxLabelledWorkspaces = 20
	// maxLabels bounds the labels that a process uses during its life, in which the
	// largest workspaces may change.
	maxLabels = 100
	// otherWorkspaces is the label of all other workspaces.
	otherWorkspaces = "other"
)

// workspaceUsage collects the use of the owned pools by workspace for metrics. Apart from
// latest, it belongs to the control loop.
type workspaceUsage struct {
	latest atomic.Pointer[[]metrics.WorkspaceJobs]
	// labelled are the workspaces with the highest weights, which have labels.
	labelled map[job.Workspace]struct{}
	used     map[job.Workspace]struct{} // Labels used so far.
}

// setTable chooses the workspaces that have labels of their own.
func (u *workspaceUsage) setTable(table *workspaces.Table) {
	all := table.All()
	slices.SortStableFunc(all, func(a, b workspaces.Workspace) int { return cmp.Compare(b.Weight, a.Weight) })
	u.labelled = map[job.Workspace]struct{}{}
	for _, w := range all[:min(len(all), maxLabelledWorkspaces)] {
		u.labelled[w.Name] = struct{}{}
	}
}

// label returns the label of a workspace.
func (u *workspaceUsage) label(name job.Workspace) string {
	if _, ok := u.labelled[name]; !ok {
		return otherWorkspaces
	}
	if _, ok := u.used[name]; !ok {
		if len(u.used) >= maxLabels {
			return otherWorkspaces
		}
		if u.used == nil {
			u.used = map[job.Workspace]struct{}{}
		}
		u.used[name] = struct{}{}
	}
	return string(name)
}

// publish makes the use of all owned pools available to metrics.
func (u *workspaceUsage) publish(pools []map[job.Workspace]shard.WorkspaceUsage) {
	sums := map[string]metrics.WorkspaceJobs{}
	for _, pool := range pools {
		for name, usage := range pool {
			label := u.label(name)
			sum := sums[label]
			sum.Workspace = label
			sum.Running, sum.Waiting, sum.Excess = sum.Running+usage.Running, sum.Waiting+usage.Waiting, sum.Excess+usage.Excess
			sums[label] = sum
		}
	}
	jobs := make([]metrics.WorkspaceJobs, 0, len(sums))
	for _, sum := range sums {
		jobs = append(jobs, sum)
	}
	u.latest.Store(&jobs)
}

// read returns the last published use. It is safe for concurrent use.
func (u *workspaceUsage) read() []metrics.WorkspaceJobs {
	if jobs := u.latest.Load(); jobs != nil {
		return *jobs
	}
	return nil
}

// countExcess counts a job in excess of the weight of its workspace.
func (p *Process) countExcess(name job.Workspace, outcome shard.ExcessOutcome) {
	p.metrics.CountExcessJob(p.usage.label(name), outcome.String())
}

// publishUsage publishes the use by workspaces at intervals. It does nothing on a site
// without workspaces once no job of a former one is left.
func (p *Process) publishUsage() {
	p.loop.After(usageInterval, p.publishUsage)
	if p.workspaces == nil && len(p.usage.read()) == 0 {
		return
	}
	var pools []map[job.Workspace]shard.WorkspaceUsage
	for name, s := range p.shards {
		p.scopes[name].Do(func() { pools = append(pools, s.WorkspaceUsage()) })
	}
	p.usage.publish(pools)
}
