package cluster

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"

	"peridotcrank.dev/jobs/rows"
)

// Names of rows. Member rows are distributed over several parts, because the store
// executes the transactions of one part sequentially.
const (
	clusterTable    = "cluster"
	memberPrefix    = "member/"
	ownerPrefix     = "owner/"
	memberPartCount = 16
	// maxConcurrentReads limits the parts that are read at the same time.
	maxConcurrentReads = 6
)

// OwnerKey returns the key of a shard's owner row. The version of that row is the
// fence of the owner.
func OwnerKey(shard string) rows.Key { return rows.Key{Table: clusterTable, Name: ownerPrefix + shard} }

func memberKey(member string) rows.Key {
	return rows.Key{Table: clusterTable, Part: memberPart(int(hash(member) % memberPartCount)), Name: memberPrefix + member}
}

func memberPart(n int) string { return fmt.Sprintf("members-%d", n) }

// view caches the member and owner rows as last read.
type view struct {
	rows    map[rows.Key]rows.Row
	version rows.Version // Version of the last read; 0 before the first one.
}

// readChanges reads the rows that changed after a version, or all rows when after is 0
// or the store no longer keeps the changes since then. The result for all rows has
// after set to 0.
func readChanges(ctx context.Context, store rows.Store, after rows.Version) (changes, error) {
	if after > 0 {
		page, err := store.Feed(ctx, clusterTable, after, 0)
		if err == nil || !errors.Is(err, rows.ErrHistoryGone) {
			return changes{page, after}, err
		}
	}
	all, err := readAll(ctx, store)
	return changes{all, 0}, err
}

// readAll reads the owner rows and then the member rows, several parts concurrently:
// reading them sequentially would delay a new process for too long.
func readAll(ctx context.Context, store rows.Store) (rows.Page, error) {
	all, err := rows.ReadAll(ctx, store, clusterTable, "")
	if err != nil {
		return rows.Page{}, err
	}
	var pages [memberPartCount]rows.Page
	group, ctx := errgroup.WithContext(ctx) // When one part fails, the remaining ones are skipped.
	group.SetLimit(maxConcurrentReads)
	for n := range memberPartCount {
		group.Go(func() (err error) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			pages[n], err = rows.ReadAll(ctx, store, clusterTable, memberPart(n))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return rows.Page{}, err
	}
	for _, page := range pages {
		all.Rows = append(all.Rows, page.Rows...)
	}
	return all, nil
}

// changes holds the rows that changed after a version; all rows when after is 0.
type changes struct {
	rows.Page
	after rows.Version
}

// merge applies changes to the view. Reads can complete out of order, so older
// versions of a row are ignored.
func (v *view) merge(c changes) {
	if c.after == 0 {
		v.rows, v.version = map[rows.Key]rows.Row{}, 0
	}
	for _, row := range c.Rows {
		switch {
		case row.Version < v.rows[row.Key].Version:
		case row.Deleted:
			delete(v.rows, row.Key)
		default:
			v.rows[row.Key] = row
		}
	}
	v.version = max(v.version, c.Version)
}
