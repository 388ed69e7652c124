// Package admintest provides an in-memory [admin.Backend] for tests.
package admintest
