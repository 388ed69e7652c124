// Package cli implements the commands of peridotcrank: those that run a process
// or check its settings, and the operator commands, which call the administration
// API.
//
// The exit codes are the constants ExitOK to ExitIncomplete, which
// docs/OPERATIONS.md lists. Results are written to the standard output and errors
// to the standard error, both as JSON with --output json.
package cli
