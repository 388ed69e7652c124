package control

import (
	"context"
	"errors"

	"peridotcrank.dev/store"
)

// ErrStale means that the copy of the rows is too old to decide on writes.
var ErrStale = errors.New("the copy of the table service's rows is stale")

// CachedTable is a store.Table whose reads come from the controller's copy of
// the rows, so that several users in one process cost the table service one
// read per poll. A commit asks for an immediate read.
type CachedTable struct {
	controller *Controller
}

// NewCachedTable returns a table over a controller's copy.
func NewCachedTable(c *Controller) *CachedTable { return &CachedTable{controller: c} }

// rowsWanted is a read of the copy.
type rowsWanted struct {
	prefix string
	since  store.Version
	reply  chan<- store.Snapshot
}

func (e rowsWanted) apply(c *Controller) {
	e.reply <- store.Snapshot{Revision: c.rows.revision, Rows: c.rows.since(e.prefix, e.since)}
}

// Read implements store.Table. It fails while the table service cannot be reached.
func (t *CachedTable) Read(ctx context.Context, prefix string, since store.Version) (store.Snapshot, error) {
	state := t.controller.State()
	if !state.StoreReachable {
		return store.Snapshot{}, stale("read " + prefix)
	}
	reply := make(chan store.Snapshot, 1)
	t.controller.send(ctx, rowsWanted{prefix: prefix, since: since, reply: reply})
	return receive(ctx, reply)
}

func stale(step string) error {
	return &store.Error{Step: step, Peer: "table service", Err: errors.Join(ErrStale, store.ErrUnavailable)}
}

// Commit implements store.Table. While the table service cannot be reached it
// refuses at once: a transaction that is sent into an outage ends as unknown and
// may take effect when the service returns, long after the operator was told.
func (t *CachedTable) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	if !t.controller.State().StoreReachable {
		return store.Result{}, stale("commit")
	}
	defer t.controller.Refresh()
	return t.controller.options.Table.Commit(ctx, tx)
}
