// Package shard runs the jobs of one pool on the process that owns it.
//
// All state lives on the control loop. What must outlast the process is written
// in transactions that form a chain: each one expects the version of the head
// row that the one before it wrote. A transaction without an answer is sent
// again unchanged; a process that lost the shard, and any of its transactions
// that are still under way, no longer find the head row that they expect.
//
// A worker keeps the ends of its runs until they are acknowledged, and it
// receives the acknowledgement only after the end was committed. A new owner
// therefore finds every end either in the rows or on the worker. Before it
// starts a task that its predecessor may have started, it asks all workers that
// the predecessor recorded, and waits for the leases of those that do not answer.
package shard
