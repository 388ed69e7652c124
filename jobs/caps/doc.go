// Package caps divides the cap of a workspace among the pools that run its jobs.
//
// A [Record] holds the share of the cap that each pool may use. The sum of the shares
// never exceeds the whole cap. The owner of a pool changes only the entry of its own pool,
// in transactions that expect the version of the row. A [Ledger] is the view that one
// owner has of the record, and decides which transaction the owner sends next.
//
// The package uses no clock and no network and starts no goroutine.
package caps
