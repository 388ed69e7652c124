package admin

import (
	"context"

	"peridotcrank.dev/eventlog"
	"peridotcrank.dev/fleet"
)

// Backend implements the operations of the API. Its methods are safe for
// concurrent use and return promptly when ctx ends. The operator receives an
// error of type *Error unchanged. The text of any other error is only logged,
// and the operator receives [CodeInternal] for a read and [CodeOutcomeUnknown]
// for a write.
//
// The caller may modify returned slices. Lists need no order; the server sorts
// and paginates them.
type Backend interface {
	// CreateIntent records an intent and returns its proposed plan. The intent
	// has no ID yet; the backend derives IDs from Write.Operation, so that a
	// repeated write yields the same ones.
	CreateIntent(ctx context.Context, w Write, intent fleet.Intent) (fleet.Plan, error)
	Intents(ctx context.Context) ([]fleet.Intent, error)

	// CreatePlan computes a new plan for an existing intent, for example after
	// a confirmation was refused.
	CreatePlan(ctx context.Context, w Write, intent fleet.IntentID) (fleet.Plan, error)
	Plan(ctx context.Context, id fleet.PlanID) (fleet.Plan, error)
	Plans(ctx context.Context) ([]fleet.Plan, error)
	// WatchPlan waits until the Version of the plan is greater than after, and
	// returns the plan. It returns the unchanged plan when ctx ends.
	WatchPlan(ctx context.Context, id fleet.PlanID, after uint64) (fleet.Plan, error)
	// ConfirmPlan fails with CodeConflict and a [Conflict] when a precondition
	// has changed.
	ConfirmPlan(ctx context.Context, w Write, id fleet.PlanID) (fleet.Plan, error)
	RejectPlan(ctx context.Context, w Write, id fleet.PlanID, reason string) (fleet.Plan, error)
	// CancelPlan stops a confirmed plan once its started steps are complete.
	CancelPlan(ctx context.Context, w Write, id fleet.PlanID, reason string) (fleet.Plan, error)

	Pools(ctx context.Context) ([]Pool, error)
	VMs(ctx context.Context) ([]fleet.VM, error)

	// Configuration returns the configuration in force in this process.
	Configuration(ctx context.Context) (fleet.Configuration, error)
	// SetConfiguration commits services as the version that follows base. It
	// fails with CodeConflict when the current version is not base.
	SetConfiguration(ctx context.Context, w Write, base uint64, services []fleet.Service) (fleet.Configuration, error)
	ConfigurationStatus(ctx context.Context) (ConfigurationStatus, error)

	Members(ctx context.Context) ([]Member, error)
	// Timeline returns the events that this process recorded after a logical
	// time, oldest first, at most limit events.
	Timeline(ctx context.Context, after uint64, limit int) ([]eventlog.Event, error)
}

// Write identifies one change that an operator requested.
type Write struct {
	// Operator is the name of the authenticated operator.
	Operator string
	// RequestID is the value of the header Request-Id.
	RequestID string
	// Operation is a UUID derived from the operator, the Request-Id, the path
	// and the body. A repeated write has the same UUID at each entry process, so
	// it identifies the transaction in the table service. It depends on the body,
	// because a different change with the same Request-Id must not be mistaken
	// for one that was already applied.
	Operation string
}
