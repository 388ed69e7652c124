// Package rowstest is an in-memory store for tests, with faults.
package rowstest
