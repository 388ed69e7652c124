package admin

import (
	"context"
	"errors"
	"math"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/settings"
)

func (s *Server) listIntents(c *call) (any, error) {
	intents, err := s.backend.Intents(c.ctx)
	if err != nil {
		return nil, err
	}
	items := make([]Intent, len(intents))
	for i, intent := range intents {
		items[i] = Intent{Intent: intent, Version: intent.Version}
	}
	return paginate(items, func(i Intent) string { return string(i.ID) }, c.params)
}

func (s *Server) createIntent(c *call) (any, error) {
	var request IntentRequest
	if err := decode(c.body, &request); err != nil {
		return nil, err
	}
	intent, err := request.toIntent()
	if err != nil {
		return nil, err
	}
	if err := s.requireRoleForKind(c, intent.Kind); err != nil {
		return nil, err
	}
	intent.Operator = c.operator.Name
	return planReply(s.backend.CreateIntent(c.ctx, c.write, intent))
}

// requireRoleForKind requires the admin role for intents that change the
// configuration, so that they cannot bypass the role that PUT /v1/config
// requires.
func (s *Server) requireRoleForKind(c *call, kind fleet.IntentKind) error {
	if kind == fleet.IntentConfigure && !hasRole(c.operator, settings.RoleAdmin) {
		return forbiddenError(settings.RoleAdmin)
	}
	return nil
}

func (s *Server) listPlans(c *call) (any, error) {
	plans, err := s.backend.Plans(c.ctx)
	if err != nil {
		return nil, err
	}
	items := []Plan{}
	for _, p := range plans {
		if c.params.matchesFilter(paramState, string(p.State)) {
			items = append(items, Plan{Plan: p, Version: p.Version})
		}
	}
	return paginate(items, func(p Plan) string { return string(p.ID) }, c.params)
}

func (s *Server) createPlan(c *call) (any, error) {
	var request PlanRequest
	if err := decode(c.body, &request); err != nil {
		return nil, err
	}
	if !ValidID(string(request.Intent)) {
		return nil, Errorf(CodeInvalid, stepDecode, "intent: an identifier is required")
	}
	return planReply(s.backend.CreatePlan(c.ctx, c.write, request.Intent))
}

func (s *Server) getPlan(c *call) (any, error) {
	return planReply(s.backend.Plan(c.ctx, fleet.PlanID(c.id)))
}

func (s *Server) watchPlan(c *call) (any, error) {
	version, err := c.params.parseNumber(paramVersion, 0, math.MaxUint64)
	if err != nil {
		return nil, err
	}
	wait, err := c.params.watchWait()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(c.ctx, wait)
	defer cancel()
	plan, err := s.backend.WatchPlan(ctx, fleet.PlanID(c.id), version)
	if errors.Is(err, context.DeadlineExceeded) {
		return s.getPlan(c)
	}
	return planReply(plan, err)
}

func (s *Server) confirmPlan(c *call) (any, error) {
	if err := decode(c.body, &struct{}{}); err != nil {
		return nil, err
	}
	if !hasRole(c.operator, settings.RoleAdmin) {
		plan, err := s.backend.Plan(c.ctx, fleet.PlanID(c.id))
		if err != nil {
			return nil, err
		}
		if err := s.requireRoleForKind(c, plan.Intent.Kind); err != nil {
			return nil, err
		}
	}
	return planReply(s.backend.ConfirmPlan(c.ctx, c.write, fleet.PlanID(c.id)))
}

func (s *Server) rejectPlan(c *call) (any, error) {
	reason, err := decodeReason(c.body)
	if err != nil {
		return nil, err
	}
	return planReply(s.backend.RejectPlan(c.ctx, c.write, fleet.PlanID(c.id), reason))
}

func (s *Server) cancelPlan(c *call) (any, error) {
	reason, err := decodeReason(c.body)
	if err != nil {
		return nil, err
	}
	return planReply(s.backend.CancelPlan(c.ctx, c.write, fleet.PlanID(c.id), reason))
}

// planReply returns the reply value of a plan.
func planReply(p fleet.Plan, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	return Plan{Plan: p, Version: p.Version}, nil
}

func (s *Server) listPools(c *call) (any, error) {
	pools, err := s.backend.Pools(c.ctx)
	if err != nil {
		return nil, err
	}
	for i := range pools {
		pools[i].Services = nonNil(pools[i].Services)
	}
	return paginate(pools, func(p Pool) string { return string(p.ID) }, c.params)
}

func (s *Server) listVMs(c *call) (any, error) {
	vms, err := s.backend.VMs(c.ctx)
	if err != nil {
		return nil, err
	}
	items := []VM{}
	for _, vm := range vms {
		if c.params.matchesFilter(paramPool, string(vm.Pool)) && c.params.matchesFilter(paramPhase, string(vm.Phase)) &&
			c.params.matchesFilter(paramRack, string(vm.Rack)) && c.params.matchesFilter(paramZone, string(vm.Zone)) {
			items = append(items, VM{VM: vm, Version: vm.Version, Leaving: vm.Leaving})
		}
	}
	return paginate(items, func(vm VM) string { return string(vm.ID) }, c.params)
}

func (s *Server) getConfiguration(c *call) (any, error) {
	return configurationReply(s.backend.Configuration(c.ctx))
}

func (s *Server) setConfiguration(c *call) (any, error) {
	var request ConfigurationRequest
	if err := decode(c.body, &request); err != nil {
		return nil, err
	}
	if err := settings.ValidateServices(request.Services); err != nil {
		return nil, Errorf(CodeInvalid, stepDecode, "%w", err)
	}
	return configurationReply(s.backend.SetConfiguration(c.ctx, c.write, request.Base, request.Services))
}

// configurationReply returns the reply value of a configuration.
func configurationReply(configuration fleet.Configuration, err error) (any, error) {
	configuration.Services = nonNil(configuration.Services)
	return configuration, err
}

func (s *Server) getConfigurationStatus(c *call) (any, error) {
	status, err := s.backend.ConfigurationStatus(c.ctx)
	status.Members = nonNil(status.Members)
	return status, err
}

func (s *Server) listMembers(c *call) (any, error) {
	members, err := s.backend.Members(c.ctx)
	if err != nil {
		return nil, err
	}
	return paginate(members, func(m Member) string { return string(m.ID) }, c.params)
}

func (s *Server) getTimeline(c *call) (any, error) {
	after, err := c.params.parseNumber(paramAfter, 0, math.MaxUint64)
	if err != nil {
		return nil, err
	}
	limit, err := c.params.pageLimit()
	if err != nil {
		return nil, err
	}
	events, err := s.backend.Timeline(c.ctx, after, limit+1)
	if err != nil {
		return nil, err
	}
	page := Timeline{Process: s.process}
	page.Events, page.Next = paginateEvents(events, limit)
	return page, nil
}
