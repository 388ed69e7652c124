package storetest

import (
	"slices"
	"strings"
	"sync"

	"peridotcrank.dev/store"
)

// Table is an in-memory table. It is safe for concurrent use. The zero value is
// not usable; call New.
type Table struct {
	mu               sync.Mutex
	revision         store.Version
	groups           map[string]*group
	faults           []*Fault
	onCommit         func(store.Transaction, store.Version)
	ignoreConditions bool
	counts           Counts
}

// Counts holds the numbers of requests that the table has served.
type Counts struct {
	Reads, Commits, Rejected uint64
}

// group holds the rows whose keys have the same part before the slash, so that a
// read of one prefix does not visit the operation rows.
type group struct {
	rows       map[string]store.Row
	lastChange store.Version
}

// New returns an empty table.
func New() *Table { return &Table{groups: map[string]*group{}} }

// OnCommit sets a function that is called after each applied transaction, with
// the table locked. Tests use it to check invariants.
func (t *Table) OnCommit(f func(tx store.Transaction, revision store.Version)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onCommit = f
}

// IgnoreConditions makes the table apply every transaction even if its
// conditions fail. Tests use this defect to prove that a checker detects it.
func (t *Table) IgnoreConditions() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ignoreConditions = true
}

// Counts returns the numbers of requests served so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Apply applies tx when its conditions hold. Scripted faults have no effect on it.
func (t *Table) Apply(tx store.Transaction) store.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Commits++
	if failed := t.failedConditions(tx.Conditions); len(failed) > 0 && !t.ignoreConditions {
		t.counts.Rejected++
		return store.Result{Outcome: store.OutcomeRejected, Failed: failed, Operation: tx.Operation}
	}
	t.revision++
	for _, w := range tx.Writes {
		t.applyWrite(w)
	}
	if t.onCommit != nil {
		t.onCommit(tx, t.revision)
	}
	return store.Result{Outcome: store.OutcomeApplied, Revision: t.revision, Operation: tx.Operation}
}

// failedConditions returns the conditions that do not hold, with the actual versions.
func (t *Table) failedConditions(conditions []store.Condition) []store.Condition {
	var failed []store.Condition
	for _, c := range conditions {
		if found := t.currentVersion(c.Key); found != c.Version {
			failed = append(failed, store.Condition{Key: c.Key, Version: found})
		}
	}
	return failed
}

func (t *Table) currentVersion(key string) store.Version {
	if g := t.groups[groupOf(key)]; g != nil {
		if row, ok := g.rows[key]; ok && !row.Deleted {
			return row.Version
		}
	}
	return 0
}

func (t *Table) applyWrite(w store.Write) {
	name := groupOf(w.Key)
	g := t.groups[name]
	if g == nil {
		g = &group{rows: map[string]store.Row{}}
		t.groups[name] = g
	}
	if w.Delete && t.currentVersion(w.Key) == 0 {
		return
	}
	row := store.Row{Key: w.Key, Version: t.revision, Deleted: w.Delete}
	if !w.Delete {
		row.Value = slices.Clone(w.Value)
	}
	g.rows[w.Key] = row
	g.lastChange = t.revision
	if w.Delete && name == store.PrefixOperation {
		// Operation rows are read one at a time and from version 0, so that no
		// reader needs their tombstones. One tombstone per commit would use up the
		// memory in a long run.
		delete(g.rows, w.Key)
	}
}

// ReadRows returns the rows under prefix that changed after since, sorted by
// key, and the version of the last change to any group that can contain the
// prefix. A read with since 0 returns no tombstones.
func (t *Table) ReadRows(prefix string, since store.Version) (store.Snapshot, store.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	snap := store.Snapshot{Revision: t.revision}
	var changed store.Version
	for name, g := range t.groups {
		if !overlaps(name, prefix) {
			continue
		}
		changed = max(changed, g.lastChange)
		if g.lastChange <= since {
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

// overlaps reports whether a group can contain keys with the prefix.
func overlaps(group, prefix string) bool {
	return strings.HasPrefix(group, prefix) || strings.HasPrefix(prefix, group)
}
