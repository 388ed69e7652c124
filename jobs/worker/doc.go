// Package worker defines the interface to the workers that run tasks: their
// registry entries, the orders sent to them, and their replies.
package worker
