package ingress

import (
	"slices"
	"strings"
	"time"

	"peridotcrank.dev/jobs/job"
	"peridotcrank.dev/jobs/worker"
)

// Route maps requests for a host and a path prefix to a queue.
type Route struct {
	Queue  job.Queue
	Host   string
	Prefix string
	Pool   string
	// Timeout limits a request.
	Timeout  time.Duration
	Attempts int
	Priority int
	// A job should complete within Stretch times its critical path plus Objective.
	Stretch   float64
	Objective time.Duration
	Advice    worker.AdvicePolicy
	// Public routes take calls without a key.
	Public bool
	// FormerPlaces are the other places that may have jobs of the route.
	FormerPlaces []Place
}

// RouteTable finds the route of a request. It is immutable.
type RouteTable struct {
	byHost map[string][]Route // Longest prefix first.
}

// NewRouteTable returns a table of the given routes.
func NewRouteTable(routes []Route) *RouteTable {
	t := &RouteTable{byHost: map[string][]Route{}}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Find returns the route of the host whose prefix is the longest match for the path, and
// false when none matches.
func (t *RouteTable) Find(host, path string) (Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}
