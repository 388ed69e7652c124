// Package rowstest provides an in-memory [rows.Store] for tests, with fault injection.
package rowstest
