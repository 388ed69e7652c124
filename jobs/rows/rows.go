package rows

import (
	"context"
	"errors"
	"time"
)

// Errors of a store.
var (
	// ErrNotExecuted means that the call was not executed and never will be.
	ErrNotExecuted = errors.New("the store did not carry out the call")
	// ErrHistoryGone means that the store no longer keeps the changes after the
	// requested version; the caller must read all rows.
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

// Expectation is a precondition of a transaction: the row must have this version.
type Expectation struct {
	Key
	Version Version
}

// Tx is a transaction: its writes are applied atomically if all expectations hold.
type Tx struct {
	Expect []Expectation
	Set    []Row
	Delete []Key
	// CrossPart allows rows of several parts; such a transaction takes twice as long.
	CrossPart bool
}

// Result is the outcome of a transaction to which the store replied.
type Result struct {
	Applied bool
	// Version is the new version of the written rows, if applied.
	Version Version
	// CurrentRows are the existing rows named by the expectations, if not applied.
	CurrentRows []Row
}

// Page is the result of a read.
type Page struct {
	Rows []Row
	// More reports that further rows follow.
	More bool
	// Version is that of the store at the time of the read.
	Version Version
}

// Store is the platform's table service.
type Store interface {
	// Commit applies all writes of tx or none. After an error that does not wrap
	// [ErrNotExecuted] the outcome is unknown.
	Commit(ctx context.Context, tx Tx) (Result, error)
	// Read returns the rows of a part in ascending order of their names, starting at from.
	Read(ctx context.Context, table, part, from string) (Page, error)
	// Feed returns the rows of a table that changed after a version. If there are none,
	// it waits for a change, up to the given time. It returns [ErrHistoryGone] when the
	// store no longer keeps the changes since that version.
	Feed(ctx context.Context, table string, after Version, wait time.Duration) (Page, error)
}

// ReadAll reads all rows of a part page by page. The version of the result is the
// lowest of its pages, so that a feed from there misses no change.
func ReadAll(ctx context.Context, s Store, table, part string) (all Page, err error) {
	err = ReadPages(ctx, s, table, part, func(page Page) {
		if all.Version == 0 || page.Version < all.Version {
			all.Version = page.Version
		}
		all.Rows = append(all.Rows, page.Rows...)
	})
	if err != nil {
		return Page{}, err
	}
	return all, nil
}

// ReadPages reads all rows of a part and passes each page to read.
func ReadPages(ctx context.Context, s Store, table, part string, read func(Page)) error {
	from := ""
	for {
		page, err := s.Read(ctx, table, part, from)
		if err != nil {
			return err
		}
		read(page)
		if !page.More || len(page.Rows) == 0 {
			return nil
		}
		// The smallest name after the last one in byte order.
		from = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
}
