// Package plans executes confirmed plans and implements the operators' calls on
// intents and plans.
//
// NextActions is a pure, level-triggered function: it derives the next actions from
// the rows, the observed age of the leases and the evidence, and keeps no state
// between calls. Driver refreshes the rows, calls NextActions and applies the actions.
// If a driver stops at any point, another process takes over its plans.
//
// An action is either a transaction on the table or an act: a drain query, a
// reboot or a probe of a VM.
//
// Every transaction of a driver is conditional on the versions of the plan row
// and of the VM rows. The plan row holds the driver, epoch and renewal count of
// the lease, so that a takeover, a renewal or a cancellation makes every
// transaction fail that was computed before it.
package plans
