// Package peer carries messages between entry processes.
package peer
