package admin

import (
	"net/http"
	"slices"
	"time"

	"peridotcrank.dev/settings"
)

// Route describes one verb of the API.
type Route struct {
	Method string
	Path   string
	// Role is the weakest role that is permitted.
	Role settings.Role
}

// Write reports whether the verb changes anything and needs a Request-Id.
func (r Route) Write() bool { return r.Method != http.MethodGet }

func (r Route) pattern() string { return r.Method + " " + r.Path }

// route is a Route with its implementation.
type route struct {
	Route
	params []string
	// wait is the time for which the verb waits for a change, beyond its work.
	wait   time.Duration
	handle func(*Server, *call) (any, error)
}

var paging = []string{paramAfter, paramLimit}

// routes are all verbs of the API. docs/ADMIN-API.md describes each of them.
var routes = []route{
	{read("/v1/intents"), paging, 0, (*Server).listIntents},
	{write("POST", "/v1/intents", settings.RoleOperator), nil, 0, (*Server).createIntent},
	{read("/v1/plans"), append(slices.Clone(paging), paramState), 0, (*Server).listPlans},
	{write("POST", "/v1/plans", settings.RoleOperator), nil, 0, (*Server).createPlan},
	{read("/v1/plans/{id}"), nil, 0, (*Server).showPlan},
	{read("/v1/plans/{id}/watch"), []string{paramVersion, paramWait}, MaxWatch, (*Server).watchPlan},
	{write("POST", "/v1/plans/{id}/confirm", settings.RoleOperator), nil, 0, (*Server).confirmPlan},
	{write("POST", "/v1/plans/{id}/reject", settings.RoleOperator), nil, 0, (*Server).rejectPlan},
	{write("POST", "/v1/plans/{id}/cancel", settings.RoleOperator), nil, 0, (*Server).cancelPlan},
	{read("/v1/pools"), paging, 0, (*Server).listPools},
	{read("/v1/vms"), append(slices.Clone(paging), paramPool, paramPhase, paramRack, paramZone), 0, (*Server).listVMs},
	{read("/v1/config"), nil, 0, (*Server).getConfiguration},
	{write("PUT", "/v1/config", settings.RoleAdmin), nil, 0, (*Server).setConfiguration},
	{read("/v1/config/status"), nil, 0, (*Server).configurationStatus},
	{read("/v1/members"), paging, 0, (*Server).listMembers},
	{read("/v1/timeline"), paging, 0, (*Server).timeline},
}

func read(path string) Route {
	return Route{Method: http.MethodGet, Path: path, Role: settings.RoleViewer}
}

func write(method, path string, role settings.Role) Route {
	return Route{Method: method, Path: path, Role: role}
}

// Routes returns all verbs of the API.
func Routes() []Route {
	all := make([]Route, len(routes))
	for i, r := range routes {
		all[i] = r.Route
	}
	return all
}
