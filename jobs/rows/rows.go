package rows

import (
	"context"
	"errors"
	"time"
)

// Errors of a store.
var (
	// ErrNotDone means that the call was not carried out and never will be.
	ErrNotDone = errors.New("the store did not carry out the call")
	// ErrHistoryGone means that the changes after a version are no longer kept.
	ErrHistoryGone = errors.New("the store no longer keeps the requested history")
)

// Version is the version of a row; 0 means that the row does not exist.
type Version = uint64

// Key identifies a row.
type Key struct {
	Table, Part, Name string
}

// Row is a row of the store.
type Row struct {
	Key
	Value   []byte
	Version Version
	Deleted bool
}

// Expectation requires that a row has a version.
type Expectation struct {
	Key
	Version Version
}

// Tx is a set of writes that are applied together when all expectations hold.
type Tx struct {
	Expect []Expectation
	Set    []Row
	Delete []Key
	// Across permits rows of several parts; such a transaction takes twice as long.
	Across bool
}

// Result is the outcome of a transaction that was answered.
type Result struct {
	Applied bool
	// Version of the transaction, when applied.
	Version Version
	// Found are the current rows of the expectations, when not applied.
	Found []Row
}

// Page is the answer to a read.
type Page struct {
	Rows    []Row
	More    bool
	Version Version
}

// Store is the platform's table service.
type Store interface {
	// Commit applies tx or none of it. After an error that does not wrap
	// [ErrNotDone] the outcome is unknown.
	Commit(ctx context.Context, tx Tx) (Result, error)
	// Read returns the rows of a part from a name on, in ascending order.
	Read(ctx context.Context, table, part, from string) (Page, error)
	// Feed returns the rows of a table that changed after a version, and waits for a change.
	Feed(ctx context.Context, table string, after Version, wait time.Duration) (Page, error)
}

// ReadAll reads all rows of a part.
func ReadAll(ctx context.Context, s Store, table, part string) (Page, error) {
	all, from := Page{}, ""
	for {
		page, err := s.Read(ctx, table, part, from)
		if err != nil {
			return Page{}, err
		}
		if all.Version == 0 || page.Version < all.Version {
			all.Version = page.Version
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		// The smallest name that follows the last one in byte order.
		from = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
}
