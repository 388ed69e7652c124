package plans

import (
	"hash/fnv"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
)

// holdsLease reports whether this process holds the lease of a plan.
func (in Input) holdsLease(plan fleet.Plan) bool {
	return plan.Driver == in.Self && plan.Epoch > 0 && in.HeldEpochs[plan.ID] == plan.Epoch
}

// acquireLease returns the action that takes the lease of a plan. It returns none until
// this process has itself observed that the lease is free or has expired.
func (in Input) acquireLease(plan fleet.Plan) []Action {
	observed, ok := in.Observed[fleet.PlanKey(plan.ID)]
	if !ok || observed.Version != plan.Version {
		return nil
	}
	delay := in.acquireDelay(plan.ID)
	if plan.Driver != "" {
		delay += in.Limits.Lease
	}
	if observed.LastRead.Sub(observed.FirstRead) < delay {
		return nil
	}
	next := plan
	next.Driver = in.Self
	next.Epoch++
	next.Renewal++
	action, err := in.commitAction(plan, &next, nil, store.PrioritySafety, "take the lease")
	if err != nil {
		return nil
	}
	action.AcquiredEpoch = next.Epoch
	return []Action{action}
}

// acquireDelay returns the delay before this process takes a free lease. It differs
// between processes, so that they do not all try at once.
func (in Input) acquireDelay(plan fleet.PlanID) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(string(in.Self) + "/" + string(plan)))
	return time.Duration(uint64(in.Limits.MaxAcquireDelay) * uint64(h.Sum32()) >> 32)
}

// renewDue reports whether the plan row is old enough to renew the lease.
func (in Input) renewDue(now time.Time, plan fleet.Plan) bool {
	return now.Sub(in.Observed[fleet.PlanKey(plan.ID)].FirstRead) >= in.Limits.RenewAfter
}

// commitAction returns a transaction that is conditional on the versions of the plan
// row and of each written row. next is the new plan row, or nil to keep the old one.
func (in Input) commitAction(plan fleet.Plan, next *fleet.Plan, rows []rowWrite, p store.Priority, reason string) (Action, error) {
	tx := store.Transaction{Priority: p, Conditions: []store.Condition{{Key: fleet.PlanKey(plan.ID), Version: plan.Version}}}
	if next != nil {
		rows = append(rows, rowWrite{key: fleet.PlanKey(plan.ID), value: *next})
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

// rowWrite is the new value of a row, to be written if the row still has version.
type rowWrite struct {
	key     string
	version uint64
	value   any
}
