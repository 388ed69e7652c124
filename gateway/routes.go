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
	retryBudget retry.Budget
}

// routeTable holds the routes of one configuration.
type routeTable struct {
	source *fleet.Configuration
	list   []*route // Longest prefix first.
}

// currentRoutes returns the routes of the configuration in force, or nil when
// there is none. It caches them until the configuration changes.
func (g *Gateway) currentRoutes() *routeTable {
	config := g.options.Configuration.Configuration()
	if config == nil {
		return nil
	}
	if r := g.cachedRoutes.Load(); r != nil && r.source == config {
		return r
	}
	r := &routeTable{source: config}
	for _, s := range config.Services {
		r.list = append(r.list, g.newRoute(s))
	}
	slices.SortStableFunc(r.list, func(a, b *route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	g.cachedRoutes.Store(r)
	return r
}

// newRoute applies the defaults to a service.
func (g *Gateway) newRoute(s fleet.Service) *route {
	setDefault(&s.Timeout, DefaultTimeout)
	setDefault(&s.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.MaxQueue, DefaultMaxQueue)
	return &route{Service: s, retryBudget: g.retryBudget(s.Pool)}
}

// retryBudget returns the retry budget of a pool. Each pool has its own, so that
// a failing pool does not use up the retries of the others.
func (g *Gateway) retryBudget(pool fleet.PoolID) retry.Budget {
	if b, ok := g.retryBudgets.Load(pool); ok {
		return b.(retry.Budget)
	}
	fresh, err := retry.New(g.options.Retry)
	if err != nil {
		panic(err) // Options.Validate has accepted the retry options.
	}
	b, _ := g.retryBudgets.LoadOrStore(pool, fresh)
	return b.(retry.Budget)
}

// match returns the service with the longest matching prefix, or nil.
func (r *routeTable) match(path string) *route {
	for _, candidate := range r.list {
		if hasPathPrefix(path, candidate.PathPrefix) {
			return candidate
		}
	}
	return nil
}

// hasPathPrefix compares whole path segments, so that "/orders" does not match
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
