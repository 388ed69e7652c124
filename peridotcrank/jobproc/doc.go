// Package jobproc assembles the process that runs jobs on the users' platform:
// its settings, the adapter of the platform, the control loop and the servers.
package jobproc
