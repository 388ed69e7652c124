// Package rows defines the interface to the platform's transactional table service.
//
// The store is linearizable and keeps every write that it acknowledged. A commit that
// got no reply may have been applied, or may be applied later if its expectations
// still hold.
package rows
