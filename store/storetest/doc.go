// Package storetest is an in-memory table with the semantics of the platform's
// table service and with scripted faults. Tests use it through Client; the test
// program's platform serves it over HTTP.
package storetest
