// Package shard schedules and runs the jobs of one worker pool on the process that owns
// the pool.
//
// All state is confined to the control loop. Durable state is written in a chain of
// transactions: each one expects the version of the head row that its predecessor
// wrote. A transaction without a reply is sent again unchanged. A process that has
// lost the shard can no longer commit, since the head row has a version that neither
// its new transactions nor those in flight expect.
//
// The owner sends each worker a hold: a long poll that renews the worker's lease,
// acknowledges the ends of runs and returns the worker's status, which lists its
// running tasks and the runs that have ended. A worker keeps the end of a run until it
// is acknowledged, and the owner acknowledges it only after its effects are committed.
// A new owner therefore finds every end either in the rows or on the worker. Before it
// starts a task that its predecessor may have started, it queries all workers that the
// predecessor recorded, and waits for the leases of those that do not reply to expire.
package shard
