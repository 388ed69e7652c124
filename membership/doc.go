// Package membership computes the view of live entry processes.
package membership
