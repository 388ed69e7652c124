// Package slots decides which entry process may use which slot of a worker.
//
// Each slot, a pair of worker and index, has a home: the entry process that
// may use it without asking anyone. Homes are a function of the workers and
// the member view (see Homes). A Ledger holds what one entry process knows
// about its own slots: those it may use, those whose previous home may still
// use them, those it has lent and those it has borrowed.
//
// Nothing in this package reads a clock, starts a goroutine or sends a
// message; the caller passes the time and carries requests to peers.
package slots
