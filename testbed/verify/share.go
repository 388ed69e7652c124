package verify

import (
	"math"
	"slices"

	"peridotcrank.dev/testbed/backend"
)

// shareDeviations is the number of standard deviations by which a share may
// exceed the one before the fault. With a few shares per run and some twenty
// runs, a false finding is then expected less than once in a thousand matrices.
const shareDeviations = 5

// CheckShare reports a service whose failing VMs receive a larger share of its
// requests within the window than before it. Servers that fail fast must not
// attract traffic because they look idle.
func (r *Result) CheckShare(runs []backend.Run, failing []string, w Window) {
	before, within := countShares(runs, failing, w)
	if len(before) == 0 || len(within) == 0 {
		r.add("failing servers attract no traffic", "no requests before or within the window to compare")
	}
	for service, now := range within {
		was := before[service]
		if was == nil {
			continue
		}
		share, baseline := now.share(), was.share()
		pooled := (now.failing + was.failing) / (now.all + was.all)
		deviation := math.Sqrt(pooled * (1 - pooled) * (1/now.all + 1/was.all))
		if share > baseline+shareDeviations*deviation {
			r.add("failing servers attract no traffic", "%s: share of failing VMs %.3f, before the fault %.3f", service, share, baseline)
		}
	}
}

// CheckEjected reports failing VMs that still receive more than half of their
// former share of all requests in the second half of the window. Ejected
// servers receive single requests between two ejections.
func (r *Result) CheckEjected(runs []backend.Run, failing []string, w Window) {
	before, _ := Shares(runs, failing, w)
	_, late := Shares(runs, failing, Window{From: w.From + (w.To-w.From)/2, To: w.To})
	if before == 0 || late > before/2 {
		r.add("failing servers are ejected", "share of failing VMs %.3f in the second half of the fault, before it %.3f", late, before)
	}
}

// Shares returns the share of failing VMs of all requests, before the window and within it.
func Shares(runs []backend.Run, failing []string, w Window) (before, within float64) {
	var sums [2]counts
	earlier, later := countShares(runs, failing, w)
	for i, services := range []map[string]*counts{earlier, later} {
		for _, c := range services {
			sums[i].all += c.all
			sums[i].failing += c.failing
		}
	}
	return sums[0].share(), sums[1].share()
}

// counts holds the requests of a service and those that failing VMs received.
type counts struct{ all, failing float64 }

func (c counts) share() float64 { return c.failing / max(1, c.all) }

// countShares counts requests by service, before the window and within it.
func countShares(runs []backend.Run, failing []string, w Window) (before, within map[string]*counts) {
	before, within = make(map[string]*counts), make(map[string]*counts)
	for _, run := range runs {
		into := before
		switch {
		case w.Contains(run.Start):
			into = within
		case run.Start > w.To:
			continue
		}
		if into[run.Service] == nil {
			into[run.Service] = &counts{}
		}
		into[run.Service].all++
		if slices.Contains(failing, run.VM) {
			into[run.Service].failing++
		}
	}
	return before, within
}
