// Package admin serves the administration API of an entry process: HTTP with
// JSON under /v1/, described in docs/ADMIN-API.md.
//
// [NewServer] returns the HTTP handler. It authenticates operators, checks
// their roles, decodes requests strictly and returns the same reply to a
// repeated write. A [Backend] implements the operations. Package admin/client
// is the client of the API.
package admin
