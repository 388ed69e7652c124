// Package watch observes a running system from outside while a test injects faults. It checks
// the version of the configuration at each entry process and reports the phases of the VMs that a
// plan moves.
package watch
