// Package scheduler chooses workers for tasks from a snapshot of the workers'
// free resources. It performs no I/O, reads no clock and changes nothing.
package scheduler
