// Package slots decides which entry process may use which slot of a worker. A
// slot admits one request at a time.
//
// Each slot, a pair of worker and index, has a home: the entry process that may
// use it without asking its peers. The workers and the member view determine the
// homes (see Homes). A Ledger holds what one entry process knows about its
// slots: those that it may use, those that their previous home may still use,
// those that it has lent and those that it has borrowed.
//
// The package reads no clock, starts no goroutine and sends no message; the
// caller passes the time and exchanges messages with peers.
package slots
