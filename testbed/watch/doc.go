// Package watch observes a running system from outside while a test injects
// faults: the configuration that each entry process has in force, and the
// phases of the VMs that a plan moves.
package watch
