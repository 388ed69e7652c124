package admin

import (
	"context"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
)

// Backend carries out the verbs of the API. Its methods are safe for
// concurrent use and return promptly when ctx ends. An error that is an
// *Error goes to the operator as it is; the text of any other error
// goes to the log only, and the operator gets [CodeInternal] for a read and
// [CodeOutcomeUnknown] for a write.
//
// Returned slices belong to the caller. Lists need no order; the server sorts
// and pages them.
type Backend interface {
	// CreateIntent records an intent and returns its proposed plan. The intent
	// comes without ID; IDs are derived from Write.Operation, so that a
	// repetition yields the same ones.
	CreateIntent(ctx context.Context, w Write, intent fleet.Intent) (fleet.Plan, error)
	Intents(ctx context.Context) ([]fleet.Intent, error)

	// CreatePlan computes a new plan for a recorded intent, for example after
	// a confirmation was refused.
	CreatePlan(ctx context.Context, w Write, intent fleet.IntentID) (fleet.Plan, error)
	Plan(ctx context.Context, id fleet.PlanID) (fleet.Plan, error)
	Plans(ctx context.Context) ([]fleet.Plan, error)
	// WatchPlan returns the plan as soon as its Version is greater than after.
	// It returns the unchanged plan when ctx ends.
	WatchPlan(ctx context.Context, id fleet.PlanID, after uint64) (fleet.Plan, error)
	// ConfirmPlan fails with CodeConflict and a [Conflict] when a precondition
	// has changed.
	ConfirmPlan(ctx context.Context, w Write, id fleet.PlanID) (fleet.Plan, error)
	RejectPlan(ctx context.Context, w Write, id fleet.PlanID, reason string) (fleet.Plan, error)
	// CancelPlan stops a confirmed plan after the steps that have begun.
	CancelPlan(ctx context.Context, w Write, id fleet.PlanID, reason string) (fleet.Plan, error)

	Pools(ctx context.Context) ([]Pool, error)
	VMs(ctx context.Context) ([]fleet.VM, error)

	// Configuration returns the configuration in force at this process.
	Configuration(ctx context.Context) (fleet.Configuration, error)
	// SetConfiguration commits services as the version after base and fails
	// with CodeConflict when the current version is not base.
	SetConfiguration(ctx context.Context, w Write, base uint64, services []fleet.Service) (fleet.Configuration, error)
	ConfigurationStatus(ctx context.Context) (ConfigurationStatus, error)

	Members(ctx context.Context) ([]Member, error)
	// Timeline returns the events that this process recorded after a logical
	// time, oldest first, at most limit of them.
	Timeline(ctx context.Context, after uint64, limit int) ([]eventlog.Event, error)
}

// Write identifies one change.
type Write struct {
	// Operator is the authenticated name.
	Operator string
	// RequestID is the operator's Request-Id.
	RequestID string
	// Operation is a UUID derived from the operator, the Request-Id, the path
	// and the body. A repetition has the same one at each entry process, so it
	// serves as the identity of the transaction in the table service. The body
	// is part of it, since another change under the same Request-Id must not
	// be taken for one that was applied.
	Operation string
}
