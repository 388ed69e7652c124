// Package store is the client of the platform's table service, of its VM list
// and of its reboot API.
//
// Every write ends as applied, rejected or unknown. Each transaction creates an
// operation row in the same commit, on condition that the row does not exist.
// When a reply is lost, the client reads that row instead of sending the
// transaction a second time. A missing operation row does not prove that the
// transaction failed, because a delayed request can still take effect. The
// client therefore writes a fence: it creates the operation row itself, marked
// as not committed. The condition of the delayed transaction then fails.
package store
