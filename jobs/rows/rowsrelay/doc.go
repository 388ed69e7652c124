// Package rowsrelay makes calls to the store through another process, and answers
// such calls. A process that answers uses its own way to the store only, so that a
// call goes through one other process at most.
package rowsrelay
