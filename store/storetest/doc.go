// Package storetest provides an in-memory table with the semantics of the
// platform's table service and with scripted faults. Tests use it through
// Client; the simulated platform of the testbed serves it over HTTP.
package storetest
