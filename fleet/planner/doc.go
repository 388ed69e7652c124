// Package planner computes a plan from a snapshot of the fleet and an intent.
// It reads no clock and writes nothing.
//
// A plan keeps each pool at or above a floor of serving VMs, which is the
// pool's capacity whenever that can be done. Where it cannot, the plan has a
// lower floor and a warning, and the operator decides. An intent that cannot be
// met at all gives an *UnmetError and no plan.
package planner
