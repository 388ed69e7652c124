// Package plans drives confirmed plans and offers the operators' calls on
// intents and plans.
//
// Step is a pure, level-triggered function: it derives the next actions from
// the rows, the observed age of the leases and the evidence, and does not
// remember what it did before. Driver refreshes the rows, calls Step and applies
// the actions. A driver that stops at any point is continued by another process.
//
// Every transaction of a driver has the plan row's version and the VM rows'
// versions as conditions. The plan row holds driver, epoch and renewal of the
// lease, so that a takeover, a renewal or a cancellation makes each transaction
// that was computed before it fail.
package plans
