// Package workertest simulates workers for tests: leases, fences, runs and
// their ends, with faults. It notes what breaks a guarantee.
package workertest
