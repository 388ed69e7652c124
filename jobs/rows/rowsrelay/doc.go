// Package rowsrelay relays calls to the store through another process, and handles the
// calls that other processes relay. A relaying process uses only its direct route to the
// store, so that a call passes through at most one other process.
package rowsrelay
