package cluster

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"

	"peridotcrank.dev/jobs/rows"
)

// Names of rows. Rows of members are spread over parts, since the store carries
// out the transactions of one part one after the other.
const (
	table        = "cluster"
	memberPrefix = "member/"
	ownerPrefix  = "owner/"
	memberParts  = 16
	// readsAtOnce bounds the parts that are read at the same time.
	readsAtOnce = 6
)

// OwnerKey returns the row whose version is the fence of a shard's owner.
func OwnerKey(shard string) rows.Key { return rows.Key{Table: table, Name: ownerPrefix + shard} }

func memberKey(member string) rows.Key {
	return rows.Key{Table: table, Part: memberPart(int(hash(member) % memberParts)), Name: memberPrefix + member}
}

func memberPart(n int) string { return fmt.Sprintf("members-%d", n) }

// view holds the rows of members and owners as they were read last.
type view struct {
	rows    map[rows.Key]rows.Row
	version rows.Version // Of the reading; 0 before the first one.
}

// readChanges reads what changed after a version, or all rows when after is 0 or
// the store no longer keeps the changes. A page with all rows starts at version 0.
func readChanges(ctx context.Context, store rows.Store, after rows.Version) (changes, error) {
	if after > 0 {
		page, err := store.Feed(ctx, table, after, 0)
		if err == nil || !errors.Is(err, rows.ErrHistoryGone) {
			return changes{page, after}, err
		}
	}
	all, err := readAll(ctx, store)
	return changes{all, 0}, err
}

// readAll reads the rows of owners, and then those of members, some parts at the
// same time: one after the other they take longer than a new process should wait.
func readAll(ctx context.Context, store rows.Store) (rows.Page, error) {
	all, err := rows.ReadAll(ctx, store, table, "")
	if err != nil {
		return rows.Page{}, err
	}
	var pages [memberParts]rows.Page
	group, ctx := errgroup.WithContext(ctx) // The rest is left out once one part fails.
	group.SetLimit(readsAtOnce)
	for n := range memberParts {
		group.Go(func() (err error) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			pages[n], err = rows.ReadAll(ctx, store, table, memberPart(n))
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

// changes are the rows that changed after a version.
type changes struct {
	rows.Page
	after rows.Version
}

// merge takes changes in. Readings may overtake each other, so an older version
// of a row is left out.
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
