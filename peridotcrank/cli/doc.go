// Package cli holds the commands of peridotcrank: the entry process, the check
// of settings and the operator commands, which call the administration API.
//
// Exit codes are the constants ExitOK to ExitIncomplete; docs/OPERATIONS.md
// lists them. Results go to the standard output and errors to the standard
// error, both as JSON with --output json.
package cli
