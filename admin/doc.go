// Package admin serves the administration API of an entry process: HTTP with
// JSON under /v1/, described in docs/ADMIN-API.md.
//
// [NewServer] returns the HTTP handler. It authenticates operators, checks
// their roles, decodes requests strictly and answers repeated writes; what the
// verbs do is up to a [Backend]. Package admin/client calls the API.
package admin
