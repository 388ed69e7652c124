// Package rows is the narrow interface to the platform's transactional rows.
//
// The store is linearizable and loses nothing that it acknowledged. A commit
// without an answer may have been applied, or may be applied later if its
// conditions still hold.
package rows
