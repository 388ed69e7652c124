package ingress

import (
	"slices"
	"strings"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// Route sends the requests for a host and a path prefix to a queue.
type Route struct {
	Queue  job.Queue
	Host   string
	Prefix string
	Pool   string
	// Timeout bounds a request.
	Timeout   time.Duration
	Attempts  int
	Priority  int
	Stretch   float64
	Objective time.Duration
	Advice    worker.AdvicePolicy
	// FormerPools may still have jobs of the queue.
	FormerPools []string
}

// Table finds routes. It is not changed after it was built.
type Table struct {
	byHost map[string][]Route // Longest prefix first.
}

// NewTable returns a table of routes.
func NewTable(routes []Route) *Table {
	t := &Table{byHost: map[string][]Route{}}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Find returns the route with the longest prefix of the path.
func (t *Table) Find(host, path string) (Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}
