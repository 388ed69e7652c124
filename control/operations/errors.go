package operations

import (
	"errors"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/control"
	"peridotcrank.dev/control/plans"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/fleet/planner"
	"peridotcrank.dev/store"
)

// toAPIError translates an error of the plans or the table service into one of the API.
func toAPIError(step string, err error) error {
	var refused *plans.RefusedError
	var unmet *planner.UnmetError
	switch {
	case errors.As(err, &refused):
		return conflictError(step, refused)
	case errors.As(err, &unmet):
		return admin.Errorf(admin.CodeConflict, step, "%w", err)
	case errors.Is(err, plans.ErrNotFound):
		return admin.Errorf(admin.CodeNotFound, step, "%w", err)
	case errors.Is(err, plans.ErrWrongState):
		return admin.Errorf(admin.CodeConflict, step, "%w", err)
	case errors.Is(err, store.ErrOutcomeUnknown):
		return storeError(admin.CodeOutcomeUnknown, step, err)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrWriteBudget),
		errors.Is(err, store.ErrNotSent), errors.Is(err, control.ErrStale):
		return storeError(admin.CodeUnavailable, step, err)
	}
	return err
}

func storeError(code admin.ErrorCode, step string, err error) error {
	translated := admin.Errorf(code, step, "%w", err)
	translated.Peer = tableServicePeer
	return translated
}

// conflictError returns a conflict with the rows that have changed and the plan that
// has reserved them.
func conflictError(step string, refused *plans.RefusedError) error {
	translated := admin.Errorf(admin.CodeConflict, step, "%w", refused)
	translated.Conflict = &admin.Conflict{}
	for _, change := range refused.Changes {
		translated.Conflict.Changed = append(translated.Conflict.Changed, fleet.RowVersion{Key: change.Key, Version: change.Found})
		if change.Conflict != "" && translated.Conflict.Plan == "" {
			translated.Conflict.Plan = change.Conflict
			translated.Conflict.Step = change.String()
		}
	}
	return translated
}
