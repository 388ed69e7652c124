// Package jobs reads and checks the settings of a process that runs jobs on
// the users' platform.
package jobs
