package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
)

// CreateIntent creates an intent and returns its proposed plan.
func (c *Client) CreateIntent(ctx context.Context, requestID string, request admin.IntentRequest) (admin.Plan, error) {
	return c.postPlanChange(ctx, requestID, "/v1/intents", request)
}

// Intents returns all intents.
func (c *Client) Intents(ctx context.Context) ([]admin.Intent, error) {
	return fetchAllPages[admin.Intent](ctx, c, "/v1/intents", nil)
}

// CreatePlan computes a new plan for an intent.
func (c *Client) CreatePlan(ctx context.Context, requestID string, intent fleet.IntentID) (admin.Plan, error) {
	return c.postPlanChange(ctx, requestID, "/v1/plans", admin.PlanRequest{Intent: intent})
}

// Plan returns one plan.
func (c *Client) Plan(ctx context.Context, id fleet.PlanID) (admin.Plan, error) {
	return fetch[admin.Plan](ctx, c, http.MethodGet, planPath(id, ""), "", nil)
}

// Plans returns all plans in a state; an empty state means all.
func (c *Client) Plans(ctx context.Context, state fleet.PlanState) ([]admin.Plan, error) {
	return fetchAllPages[admin.Plan](ctx, c, "/v1/plans", map[string]string{"state": string(state)})
}

// WatchPlan waits until the version of the plan exceeds version and returns the
// plan. It returns the unchanged plan after wait, at most [admin.MaxWatch].
func (c *Client) WatchPlan(ctx context.Context, id fleet.PlanID, version uint64, wait time.Duration) (admin.Plan, error) {
	path := planPath(id, "/watch") + encodeQuery(map[string]string{
		"version": strconv.FormatUint(version, 10),
		"wait_ms": strconv.FormatInt(min(wait, admin.MaxWatch).Milliseconds(), 10),
	})
	return fetch[admin.Plan](ctx, c, http.MethodGet, path, "", nil)
}

// ConfirmPlan confirms a proposed plan.
func (c *Client) ConfirmPlan(ctx context.Context, requestID string, id fleet.PlanID) (admin.Plan, error) {
	return c.postPlanChange(ctx, requestID, planPath(id, "/confirm"), struct{}{})
}

// RejectPlan rejects a proposed plan.
func (c *Client) RejectPlan(ctx context.Context, requestID string, id fleet.PlanID, reason string) (admin.Plan, error) {
	return c.postPlanChange(ctx, requestID, planPath(id, "/reject"), admin.ReasonRequest{Reason: reason})
}

// CancelPlan stops a confirmed plan.
func (c *Client) CancelPlan(ctx context.Context, requestID string, id fleet.PlanID, reason string) (admin.Plan, error) {
	return c.postPlanChange(ctx, requestID, planPath(id, "/cancel"), admin.ReasonRequest{Reason: reason})
}

// postPlanChange sends a write that returns a plan.
func (c *Client) postPlanChange(ctx context.Context, requestID, path string, body any) (admin.Plan, error) {
	return fetch[admin.Plan](ctx, c, http.MethodPost, path, requestID, body)
}

// Pools returns all pools.
func (c *Client) Pools(ctx context.Context) ([]admin.Pool, error) {
	return fetchAllPages[admin.Pool](ctx, c, "/v1/pools", nil)
}

// VMFilter selects VMs by the fields that are not empty.
type VMFilter struct {
	Pool  fleet.PoolID
	Phase fleet.Phase
	Rack  fleet.RackID
	Zone  fleet.ZoneID
}

// VMs returns the VMs that match the filter.
func (c *Client) VMs(ctx context.Context, f VMFilter) ([]admin.VM, error) {
	return fetchAllPages[admin.VM](ctx, c, "/v1/vms", map[string]string{
		"pool": string(f.Pool), "phase": string(f.Phase), "rack": string(f.Rack), "zone": string(f.Zone),
	})
}

// Configuration returns the configuration in force in the entry process.
func (c *Client) Configuration(ctx context.Context) (fleet.Configuration, error) {
	return fetch[fleet.Configuration](ctx, c, http.MethodGet, "/v1/config", "", nil)
}

// SetConfiguration sets the services as the version that follows base. It fails
// with [admin.CodeConflict] when the current version is not base.
func (c *Client) SetConfiguration(ctx context.Context, requestID string, base uint64, services []fleet.Service) (fleet.Configuration, error) {
	request := admin.ConfigurationRequest{Base: base, Services: services}
	return fetch[fleet.Configuration](ctx, c, http.MethodPut, "/v1/config", requestID, request)
}

// ConfigurationStatus returns the version and lag of each member.
func (c *Client) ConfigurationStatus(ctx context.Context) (admin.ConfigurationStatus, error) {
	return fetch[admin.ConfigurationStatus](ctx, c, http.MethodGet, "/v1/config/status", "", nil)
}

// Members returns the entry processes in the view of the called one.
func (c *Client) Members(ctx context.Context) ([]admin.Member, error) {
	return fetchAllPages[admin.Member](ctx, c, "/v1/members", nil)
}

// Timeline returns the events of the called process after a logical time.
func (c *Client) Timeline(ctx context.Context, after uint64) ([]eventlog.Event, error) {
	var events []eventlog.Event
	next := strconv.FormatUint(after, 10)
	for next != "" {
		path := "/v1/timeline" + encodeQuery(map[string]string{"after": next, "limit": strconv.Itoa(admin.MaxPageSize)})
		part, err := fetch[admin.Timeline](ctx, c, http.MethodGet, path, "", nil)
		if err != nil {
			return nil, err
		}
		events = append(events, part.Events...)
		next = part.Next
	}
	return events, nil
}

// fetchAllPages returns the items of all pages of a list.
func fetchAllPages[T any](ctx context.Context, c *Client, path string, filter map[string]string) ([]T, error) {
	parameters := map[string]string{"limit": strconv.Itoa(admin.MaxPageSize)}
	for name, value := range filter {
		parameters[name] = value
	}
	items := []T{}
	for {
		page, err := fetch[admin.Page[T]](ctx, c, http.MethodGet, path+encodeQuery(parameters), "", nil)
		if err != nil {
			return nil, err
		}
		items = append(items, page.Items...)
		if page.Next == "" {
			return items, nil
		}
		parameters["after"] = page.Next
	}
}

// planPath returns the path of a plan, with the suffix of an operation on it.
func planPath(id fleet.PlanID, suffix string) string {
	return "/v1/plans/" + url.PathEscape(string(id)) + suffix
}

// encodeQuery returns a query string of the parameters that are not empty.
func encodeQuery(parameters map[string]string) string {
	values := url.Values{}
	for name, value := range parameters {
		if value != "" {
			values.Set(name, value)
		}
	}
	if len(values) == 0 {
		return ""
	}
	return "?" + values.Encode()
}
