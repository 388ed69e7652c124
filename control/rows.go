package control

import (
	"strings"

	"peridotcrank.dev/control/fleetrows"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
)

// rows is the copy of the table service's rows, with the values decoded from them.
// It is owned by the control goroutine. Published maps are replaced, never modified.
type rows struct {
	revision store.Version
	raw      map[string]store.Row
	// changed holds the VMs whose rows have changed since the last snapshot was built.
	changed map[fleet.VMID]bool

	fleet          fleet.Snapshot
	members        fleet.MemberView
	membersVersion store.Version
	config         fleet.Configuration
	configVersion  store.Version
}

func newRows() *rows {
	return &rows{
		raw: make(map[string]store.Row), changed: make(map[fleet.VMID]bool),
		fleet: fleet.Snapshot{
			VMs:     make(map[fleet.VMID]fleet.VM),
			Pools:   make(map[fleet.PoolID]fleet.Pool),
			Plans:   make(map[fleet.PlanID]fleet.Plan),
			Intents: make(map[fleet.IntentID]fleet.Intent),
		},
	}
}

// apply merges rows that changed up to a revision. It ignores rows that are not
// newer than the copy, because the table service and peers can send the same row.
// A row that cannot be decoded keeps its previous value and yields an error.
func (r *rows) apply(revision store.Version, changed []store.Row) []error {
	var failures []error
	newer := make(map[string][]store.Row)
	for _, row := range changed {
		if strings.HasPrefix(row.Key, store.PrefixOperation) || row.Version <= r.raw[row.Key].Version {
			continue
		}
		r.raw[row.Key] = row
		newer[keyPrefix(row.Key)] = append(newer[keyPrefix(row.Key)], row)
	}
	for prefix, list := range newer {
		failures = append(failures, r.decode(prefix, list)...)
	}
	r.revision = max(r.revision, revision)
	r.fleet.Revision = r.revision
	return failures
}

// keyPrefix returns the key up to and including its first slash.
func keyPrefix(key string) string {
	if i := strings.IndexByte(key, '/'); i >= 0 {
		return key[:i+1]
	}
	return key
}

func (r *rows) decode(prefix string, list []store.Row) []error {
	switch prefix {
	case fleet.PrefixVM:
		for _, row := range list {
			r.changed[fleet.VMID(strings.TrimPrefix(row.Key, prefix))] = true
		}
	case fleet.KeyMembers:
		return decodeLatest(list, &r.members, &r.membersVersion)
	case fleet.KeyConfiguration:
		return decodeLatest(list, &r.config, &r.configVersion)
	}
	return fleetrows.Apply(&r.fleet, prefix, list)
}

// decodeLatest decodes the last row of list. On an error, it keeps the old value and
// version.
func decodeLatest[V any](list []store.Row, into *V, version *store.Version) []error {
	row := list[len(list)-1]
	var value V
	if err := fleetrows.Decode(row, &value); err != nil {
		return []error{err}
	}
	*into, *version = value, row.Version
	return nil
}

// changedSince returns the rows under prefix that changed after a version,
// including the tombstones of deleted rows.
func (r *rows) changedSince(prefix string, version store.Version) []store.Row {
	if version >= r.revision {
		return nil // The plan driver reads at each tick, usually without changes.
	}
	var list []store.Row
	for key, row := range r.raw {
		if row.Version > version && strings.HasPrefix(key, prefix) {
			list = append(list, row)
		}
	}
	return list
}

// hasOlderVersions reports whether a changed row has a lower version than the
// copy, which happens after the table service was restored from a backup.
func (r *rows) hasOlderVersions(changed []store.Row) bool {
	for _, row := range changed {
		if row.Version < r.raw[row.Key].Version {
			return true
		}
	}
	return false
}
