// Package jobproc assembles the process that runs jobs on the users' platform. It
// connects the settings, the platform adapter, the control loop and the servers.
package jobproc
