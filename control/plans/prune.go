package plans

import (
	"cmp"
	"context"
	"slices"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
)

// Limits for ended plans in the table. At 4,100 workers with one maintenance of
// each rack in 3 weeks, about 49 plans end per day.
const (
	// DefaultRetainPlans retains the plans of about four days at that size.
	DefaultRetainPlans = 200
	// pruneBatch is the number of plans that one call of CreateIntent deletes.
	pruneBatch = 8
)

// pruneEndedPlans deletes the oldest ended plans beyond the number retained, and
// their intents. If it fails, the next call deletes them.
func (a *Admin) pruneEndedPlans(ctx context.Context, s *fleet.Snapshot) {
	retain := a.RetainPlans
	setDefault(&retain, DefaultRetainPlans)
	tx := store.Transaction{Priority: store.PriorityProgress}
	for _, plan := range oldestEndedPlans(s, retain) {
		tx.Conditions = append(tx.Conditions, store.Condition{Key: fleet.PlanKey(plan.ID), Version: plan.Version})
		tx.Writes = append(tx.Writes, store.Delete(fleet.PlanKey(plan.ID)), store.Delete(fleet.IntentKey(plan.Intent.ID)))
	}
	if len(tx.Writes) > 0 {
		_, _ = a.Table.Commit(ctx, tx)
	}
}

// oldestEndedPlans returns up to pruneBatch ended plans beyond the number retained,
// in the order of their last change.
func oldestEndedPlans(s *fleet.Snapshot, retain int) []fleet.Plan {
	var ended []fleet.Plan
	for _, plan := range s.Plans {
		if plan.State.Ended() {
			ended = append(ended, plan)
		}
	}
	if len(ended) <= retain {
		return nil
	}
	slices.SortFunc(ended, func(a, b fleet.Plan) int { return cmp.Compare(a.Version, b.Version) })
	return ended[:min(len(ended)-retain, pruneBatch)]
}
