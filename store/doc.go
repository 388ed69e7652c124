// Package store is the client of the platform's table service, of its VM list
// and of its reboot call.
//
// Every write ends as applied, rejected or unknown. Each transaction writes an
// operation row in the same commit; when a reply is lost, the client reads that
// row instead of writing the transaction a second time. An operation row that
// is absent does not prove that the transaction will not take effect later, so
// the client then writes a fence into the operation row, on condition that the
// row does not exist. A fenced transaction is rejected by its own condition.
package store
