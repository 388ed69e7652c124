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
	type counts struct{ all, failing float64 }
	before, within := make(map[string]*counts), make(map[string]*counts)
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
	if len(before) == 0 || len(within) == 0 {
		r.add("failing servers attract no traffic", "no requests before or within the window to compare")
	}
	for service, now := range within {
		was := before[service]
		if was == nil {
			continue
		}
		share, baseline := now.failing/now.all, was.failing/was.all
		pooled := (now.failing + was.failing) / (now.all + was.all)
		deviation := math.Sqrt(pooled * (1 - pooled) * (1/now.all + 1/was.all))
		if share > baseline+shareDeviations*deviation {
			r.add("failing servers attract no traffic", "%s: share of failing VMs %.3f, before the fault %.3f", service, share, baseline)
		}
	}
}
