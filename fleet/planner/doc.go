// Package planner computes a plan from a snapshot of the fleet and an intent.
// It reads no clock and has no side effects.
//
// A plan keeps each pool at or above a floor of serving VMs. The floor equals the
// pool's capacity if possible. Otherwise the plan has a lower floor and a warning, and
// the operator decides whether to confirm it. An intent that cannot be met at all
// gives an *UnmetError and no plan.
package planner
