package storetest

import (
	"slices"
	"strings"
	"sync"

	"peridotcrank.dev/store"
)

// Table is an in-memory table. The zero value is not usable; call New.
type Table struct {
	mu       sync.Mutex
	revision store.Version
	groups   map[string]*group
	faults   []*Fault
	onCommit func(store.Transaction, store.Version)
	lax      bool
	counts   Counts
}

// Counts are the requests that the table has served.
type Counts struct {
	Reads, Commits, Rejected uint64
}

// group holds the rows that share the part of the key before the slash, so
// that a read of one prefix does not visit the operation rows.
type group struct {
	rows    map[string]store.Row
	changed store.Version
}

// New returns an empty table.
func New() *Table { return &Table{groups: map[string]*group{}} }

// OnCommit sets a function that is called, with the table locked, after each
// applied transaction. Tests check invariants with it.
func (t *Table) OnCommit(f func(tx store.Transaction, revision store.Version)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onCommit = f
}

// IgnoreConditions makes the table apply every transaction. It is a planted
// fault: tests use it to show that a checker fails.
func (t *Table) IgnoreConditions() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lax = true
}

// Counts returns the requests served so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Apply commits tx without faults.
func (t *Table) Apply(tx store.Transaction) store.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Commits++
	if failed := t.failed(tx.Conditions); len(failed) > 0 && !t.lax {
		t.counts.Rejected++
		return store.Result{Outcome: store.OutcomeRejected, Failed: failed, Operation: tx.Operation}
	}
	t.revision++
	for _, w := range tx.Writes {
		t.write(w)
	}
	if t.onCommit != nil {
		t.onCommit(tx, t.revision)
	}
	return store.Result{Outcome: store.OutcomeApplied, Revision: t.revision, Operation: tx.Operation}
}

func (t *Table) failed(conditions []store.Condition) []store.Condition {
	var failed []store.Condition
	for _, c := range conditions {
		if found := t.version(c.Key); found != c.Version {
			failed = append(failed, store.Condition{Key: c.Key, Version: found})
		}
	}
	return failed
}

func (t *Table) version(key string) store.Version {
	if g := t.groups[groupOf(key)]; g != nil {
		if row, ok := g.rows[key]; ok && !row.Deleted {
			return row.Version
		}
	}
	return 0
}

func (t *Table) write(w store.Write) {
	name := groupOf(w.Key)
	g := t.groups[name]
	if g == nil {
		g = &group{rows: map[string]store.Row{}}
		t.groups[name] = g
	}
	if w.Delete && t.version(w.Key) == 0 {
		return
	}
	row := store.Row{Key: w.Key, Version: t.revision, Deleted: w.Delete}
	if !w.Delete {
		row.Value = slices.Clone(w.Value)
	}
	g.rows[w.Key] = row
	g.changed = t.revision
	if w.Delete && name == store.PrefixOperation {
		// Operation rows are read one at a time and from 0, so that nobody needs
		// their tombstones. One per commit would fill the memory of a long run.
		delete(g.rows, w.Key)
	}
}

// Rows returns the rows under prefix changed after since, sorted by key, and
// the version of the last change that can concern the prefix. A read from 0
// holds no tombstones.
func (t *Table) Rows(prefix string, since store.Version) (store.Snapshot, store.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	snap := store.Snapshot{Revision: t.revision}
	var changed store.Version
	for name, g := range t.groups {
		if !overlaps(name, prefix) {
			continue
		}
		changed = max(changed, g.changed)
		if g.changed <= since {
			continue
		}
		for key, row := range g.rows {
			if row.Version > since && strings.HasPrefix(key, prefix) && (since > 0 || !row.Deleted) {
				snap.Rows = append(snap.Rows, row)
			}
		}
	}
	slices.SortFunc(snap.Rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return snap, changed
}

// groupOf returns the part of key up to and including the first slash.
func groupOf(key string) string {
	if i := strings.IndexByte(key, '/'); i >= 0 {
		return key[:i+1]
	}
	return key
}

// overlaps reports whether a group can hold keys with the prefix.
func overlaps(group, prefix string) bool {
	return strings.HasPrefix(group, prefix) || strings.HasPrefix(prefix, group)
}
