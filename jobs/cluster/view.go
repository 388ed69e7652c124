package cluster

import (
	"context"
	"errors"
	"fmt"

	"peridotcrank.dev/jobs/rows"
)

// Names of rows. Rows of members are spread over parts, since the store carries
// out the transactions of one part one after the other.
const (
	table        = "cluster"
	memberPrefix = "member/"
	ownerPrefix  = "owner/"
	memberParts  = 16
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
	all, err := rows.ReadAll(ctx, store, table, "")
	for n := 0; n < memberParts && err == nil; n++ {
		var page rows.Page
		page, err = rows.ReadAll(ctx, store, table, memberPart(n))
		all.Rows = append(all.Rows, page.Rows...)
	}
	return changes{all, 0}, err
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
