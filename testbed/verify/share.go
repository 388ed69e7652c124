package verify

import (
	"math"
	"slices"

	"peridotcrank.dev/testbed/backend"
)

// shareDeviations is the number of standard deviations by which a share is allowed to exceed
// the one before the fault. With a few shares per run and some twenty runs, fewer than one
// in a thousand fault matrices has a false finding.
const shareDeviations = 5

// CheckFailingShare reports each service whose failing VMs receive a larger share of its requests
// within the window than before it. Servers that fail fast must not attract traffic because
// they look idle.
func (r *Result) CheckFailingShare(runs []backend.Run, failing []string, w Window) {
	before, within := countShares(runs, failing, w)
	if len(before) == 0 || len(within) == 0 {
		r.addFinding("failing servers attract no traffic", "no requests before or within the window to compare")
	}
	for service, current := range within {
		earlier := before[service]
		if earlier == nil {
			continue
		}
		share, baseline := current.failingShare(), earlier.failingShare()
		pooled := (current.failing + earlier.failing) / (current.all + earlier.all)
		deviation := math.Sqrt(pooled * (1 - pooled) * (1/current.all + 1/earlier.all))
		if share > baseline+shareDeviations*deviation {
			r.addFinding("failing servers attract no traffic", "%s: share of failing VMs %.3f, before the fault %.3f", service, share, baseline)
		}
	}
}

// CheckEjected reports failing VMs that receive more than half of their previous share of all
// requests in the second half of the window. Some requests are expected, because an ejected
// server receives single requests between two ejections.
func (r *Result) CheckEjected(runs []backend.Run, failing []string, w Window) {
	before, _ := FailingShares(runs, failing, w)
	_, late := FailingShares(runs, failing, Window{From: w.From + (w.To-w.From)/2, To: w.To})
	if before == 0 || late > before/2 {
		r.addFinding("failing servers are ejected", "share of failing VMs %.3f in the second half of the fault, before it %.3f", late, before)
	}
}

// FailingShares returns the share of all requests that failing VMs received, before the window
// and within it.
func FailingShares(runs []backend.Run, failing []string, w Window) (before, within float64) {
	var sums [2]requestCounts
	earlier, later := countShares(runs, failing, w)
	for i, services := range []map[string]*requestCounts{earlier, later} {
		for _, c := range services {
			sums[i].all += c.all
			sums[i].failing += c.failing
		}
	}
	return sums[0].failingShare(), sums[1].failingShare()
}

// requestCounts counts all requests of a service and those that failing VMs received.
type requestCounts struct{ all, failing float64 }

func (c requestCounts) failingShare() float64 { return c.failing / max(1, c.all) }

// countShares counts requests by service, before the window and within it.
func countShares(runs []backend.Run, failing []string, w Window) (before, within map[string]*requestCounts) {
	before, within = make(map[string]*requestCounts), make(map[string]*requestCounts)
	for _, run := range runs {
		target := before
		switch {
		case w.Contains(run.Start):
			target = within
		case run.Start > w.To:
			continue
		}
		if target[run.Service] == nil {
			target[run.Service] = &requestCounts{}
		}
		target[run.Service].all++
		if slices.Contains(failing, run.VM) {
			target[run.Service].failing++
		}
	}
	return before, within
}
