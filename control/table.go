package control

import (
	"context"
	"errors"

	"peridotcrank.dev/store"
)

// ErrStale means that the copy of the rows is too old to decide on writes.
var ErrStale = errors.New("the copy of the table service's rows is stale")

// CachedTable is a store.Table that reads from the controller's copy of the rows,
// so that all users in one process together cost the table service one read per
// poll. A commit triggers an immediate read.
type CachedTable struct {
	controller *Controller
}

// NewCachedTable returns a table that reads from the copy of a controller.
func NewCachedTable(c *Controller) *CachedTable { return &CachedTable{controller: c} }

// cachedRowsRequested is the event of a read from the copy.
type cachedRowsRequested struct {
	prefix string
	since  store.Version
	reply  chan<- store.Snapshot
}

func (e cachedRowsRequested) apply(c *Controller) {
	e.reply <- store.Snapshot{Revision: c.rows.revision, Rows: c.rows.changedSince(e.prefix, e.since)}
}

// Read implements store.Table. It returns an error that wraps ErrStale while the
// table service cannot be reached.
func (t *CachedTable) Read(ctx context.Context, prefix string, since store.Version) (store.Snapshot, error) {
	state := t.controller.State()
	if !state.StoreReachable {
		return store.Snapshot{}, staleError("read " + prefix)
	}
	reply := make(chan store.Snapshot, 1)
	t.controller.send(ctx, cachedRowsRequested{prefix: prefix, since: since, reply: reply})
	return awaitReply(ctx, reply)
}

func staleError(step string) error {
	return &store.Error{Step: step, Peer: "table service", Err: errors.Join(ErrStale, store.ErrUnavailable)}
}

// Commit implements store.Table. While the table service cannot be reached, it
// returns an error that wraps ErrStale at once: a transaction sent during an outage
// has an unknown outcome and may take effect when the service returns, long after
// the operator was told so.
func (t *CachedTable) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	if !t.controller.State().StoreReachable {
		return store.Result{}, staleError("commit")
	}
	defer t.controller.Refresh()
	return t.controller.options.Table.Commit(ctx, tx)
}
