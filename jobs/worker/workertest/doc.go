// Package workertest simulates workers for tests: leases, fences, runs and
// their ends, with injected faults. It records every violation of a guarantee,
// such as a task that runs twice at the same time.
package workertest
