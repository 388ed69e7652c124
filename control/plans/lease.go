package plans

import (
	"hash/fnv"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
)

// holds reports whether this process holds the lease of a plan.
func (v View) holds(plan fleet.Plan) bool {
	return plan.Driver == v.Self && plan.Epoch > 0 && v.Held[plan.ID] == plan.Epoch
}

// acquire returns the action that takes the lease of a plan, once it is free or
// has lapsed by this process's own observation.
func (v View) acquire(plan fleet.Plan) []Action {
	seen, ok := v.Seen[fleet.PlanKey(plan.ID)]
	if !ok || seen.Version != plan.Version {
		return nil
	}
	wait := v.spread(plan.ID)
	if plan.Driver != "" {
		wait += v.Limits.Lease
	}
	if seen.Last.Sub(seen.Since) < wait {
		return nil
	}
	next := plan
	next.Driver = v.Self
	next.Epoch++
	next.Renewal++
	action, err := v.commit(plan, &next, nil, store.PrioritySafety, "take the lease")
	if err != nil {
		return nil
	}
	action.Acquire = next.Epoch
	return []Action{action}
}

// spread returns this process's delay before it takes a lease, so that the
// processes of a site do not all try at once.
func (v View) spread(plan fleet.PlanID) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(string(v.Self) + "/" + string(plan)))
	return time.Duration(uint64(v.Limits.Spread) * uint64(h.Sum32()) >> 32)
}

// renewDue reports whether the lease must be renewed.
func (v View) renewDue(now time.Time, plan fleet.Plan) bool {
	return now.Sub(v.Seen[fleet.PlanKey(plan.ID)].Since) >= v.Limits.Renew
}

// commit returns a transaction on condition of the versions of the plan row and
// of each row written. next is the new plan row, or nil to leave it.
func (v View) commit(plan fleet.Plan, next *fleet.Plan, rows []row, p store.Priority, reason string) (Action, error) {
	tx := store.Transaction{Priority: p, Conditions: []store.Condition{{Key: fleet.PlanKey(plan.ID), Version: plan.Version}}}
	if next != nil {
		rows = append(rows, row{key: fleet.PlanKey(plan.ID), value: *next})
	}
	for _, r := range rows {
		w, err := store.Put(r.key, r.value)
		if err != nil {
			return Action{}, err
		}
		tx.Writes = append(tx.Writes, w)
		if r.version > 0 {
			tx.Conditions = append(tx.Conditions, store.Condition{Key: r.key, Version: r.version})
		}
	}
	return Action{Plan: plan.ID, Transaction: &tx, Reason: reason}, nil
}

// row is a row to write, on condition of its version.
type row struct {
	key     string
	version uint64
	value   any
}
