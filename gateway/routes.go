package gateway

import (
	"slices"
	"strings"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/limits/retry"
)

// route is a service with its defaults applied.
type route struct {
	fleet.Service
	budget retry.Budget
}

// routes is a configuration prepared for matching.
type routes struct {
	source *fleet.Configuration
	list   []*route // Longest prefix first.
}

// routes returns the routes of the configuration in force, nil when there is none.
func (g *Gateway) routes() *routes {
	config := g.options.Configuration.Configuration()
	if config == nil {
		return nil
	}
	if r := g.prepared.Load(); r != nil && r.source == config {
		return r
	}
	r := &routes{source: config}
	for _, s := range config.Services {
		r.list = append(r.list, g.route(s))
	}
	slices.SortStableFunc(r.list, func(a, b *route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	g.prepared.Store(r)
	return r
}

func (g *Gateway) route(s fleet.Service) *route {
	setDefault(&s.Timeout, DefaultTimeout)
	setDefault(&s.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.MaxQueue, DefaultMaxQueue)
	return &route{Service: s, budget: g.budget(s.Pool)}
}

// budget returns the retry budget of a pool, so that a failing pool does not
// use up the retries of the others.
func (g *Gateway) budget(pool fleet.PoolID) retry.Budget {
	if b, ok := g.budgets.Load(pool); ok {
		return b.(retry.Budget)
	}
	fresh, err := retry.New(g.options.Retry)
	if err != nil {
		panic(err) // New has validated the options.
	}
	b, _ := g.budgets.LoadOrStore(pool, fresh)
	return b.(retry.Budget)
}

// match returns the service with the longest matching prefix, or nil.
func (r *routes) match(path string) *route {
	for _, candidate := range r.list {
		if hasPathPrefix(path, candidate.PathPrefix) {
			return candidate
		}
	}
	return nil
}

// hasPathPrefix matches whole path segments, so that "/orders" does not match
// "/orders-old".
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// hasDotSegment reports whether the path has a segment "." or "..". The
// backend server would resolve it to a path of another service.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
