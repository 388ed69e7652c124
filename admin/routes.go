package admin

import (
	"net/http"
	"slices"
	"time"

	"peridotcrank.dev/settings"
)

// Route describes one endpoint of the API.
type Route struct {
	Method string
	Path   string
	// Role is the least privileged role that is permitted.
	Role settings.Role
}

// IsWrite reports whether the endpoint changes state and requires a Request-Id.
func (r Route) IsWrite() bool { return r.Method != http.MethodGet }

func (r Route) pattern() string { return r.Method + " " + r.Path }

// route is a Route with its query parameters and handler.
type route struct {
	Route
	params []string
	// watchTime is the maximum time that the endpoint waits for a change, in
	// addition to the timeout of the server.
	watchTime time.Duration
	handle    func(*Server, *call) (any, error)
}

var pagingParams = []string{paramAfter, paramLimit}

// routes holds all endpoints of the API. docs/ADMIN-API.md describes them.
var routes = []route{
	{readRoute("/v1/intents"), pagingParams, 0, (*Server).listIntents},
	{writeRoute("POST", "/v1/intents", settings.RoleOperator), nil, 0, (*Server).createIntent},
	{readRoute("/v1/plans"), append(slices.Clone(pagingParams), paramState), 0, (*Server).listPlans},
	{writeRoute("POST", "/v1/plans", settings.RoleOperator), nil, 0, (*Server).createPlan},
	{readRoute("/v1/plans/{id}"), nil, 0, (*Server).getPlan},
	{readRoute("/v1/plans/{id}/watch"), []string{paramVersion, paramWait}, MaxWatch, (*Server).watchPlan},
	{writeRoute("POST", "/v1/plans/{id}/confirm", settings.RoleOperator), nil, 0, (*Server).confirmPlan},
	{writeRoute("POST", "/v1/plans/{id}/reject", settings.RoleOperator), nil, 0, (*Server).rejectPlan},
	{writeRoute("POST", "/v1/plans/{id}/cancel", settings.RoleOperator), nil, 0, (*Server).cancelPlan},
	{readRoute("/v1/pools"), pagingParams, 0, (*Server).listPools},
	{readRoute("/v1/vms"), append(slices.Clone(pagingParams), paramPool, paramPhase, paramRack, paramZone), 0, (*Server).listVMs},
	{readRoute("/v1/config"), nil, 0, (*Server).getConfiguration},
	{writeRoute("PUT", "/v1/config", settings.RoleAdmin), nil, 0, (*Server).setConfiguration},
	{readRoute("/v1/config/status"), nil, 0, (*Server).getConfigurationStatus},
	{readRoute("/v1/members"), pagingParams, 0, (*Server).listMembers},
	{readRoute("/v1/timeline"), pagingParams, 0, (*Server).getTimeline},
}

// readRoute returns a GET route for viewers.
func readRoute(path string) Route {
	return Route{Method: http.MethodGet, Path: path, Role: settings.RoleViewer}
}

// writeRoute returns a route that changes state.
func writeRoute(method, path string, role settings.Role) Route {
	return Route{Method: method, Path: path, Role: role}
}

// Routes returns all endpoints of the API.
func Routes() []Route {
	all := make([]Route, len(routes))
	for i, r := range routes {
		all[i] = r.Route
	}
	return all
}
