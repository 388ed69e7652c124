package control

import (
	"strings"

	"peridotcrank.dev/control/fleetrows"
	"peridotcrank.dev/fleet"
	"peridotcrank.dev/store"
)

// rows is the copy of the table service's rows, with the values decoded from them.
// It is owned by the control goroutine; published maps are never changed.
type rows struct {
	revision store.Version
	raw      map[string]store.Row
	// changed holds the VMs whose rows have changed since the owner last cleared it.
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

// apply takes in rows that changed up to a revision. Rows that are not newer
// than the copy are ignored, so that sources may overlap. A row that cannot
// be decoded keeps its former value and is reported.
func (r *rows) apply(revision store.Version, changed []store.Row) []error {
	var failures []error
	fresh := make(map[string][]store.Row)
	for _, row := range changed {
		if strings.HasPrefix(row.Key, store.PrefixOperation) || row.Version <= r.raw[row.Key].Version {
			continue
		}
		r.raw[row.Key] = row
		fresh[prefixOf(row.Key)] = append(fresh[prefixOf(row.Key)], row)
	}
	for prefix, list := range fresh {
		failures = append(failures, r.decode(prefix, list)...)
	}
	r.revision = max(r.revision, revision)
	r.fleet.Revision = r.revision
	return failures
}

// prefixOf returns the key up to its first slash, that slash included.
func prefixOf(key string) string {
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
		return decodeRow(list, &r.members, &r.membersVersion)
	case fleet.KeyConfiguration:
		return decodeRow(list, &r.config, &r.configVersion)
	}
	return fleetrows.Apply(&r.fleet, prefix, list)
}

func decodeRow[V any](list []store.Row, into *V, version *store.Version) []error {
	row := list[len(list)-1]
	var value V
	if err := fleetrows.Decode(row, &value); err != nil {
		return []error{err}
	}
	*into, *version = value, row.Version
	return nil
}

// since returns the rows under prefix that changed after a version, with tombstones.
func (r *rows) since(prefix string, version store.Version) []store.Row {
	if version >= r.revision {
		return nil // The driver asks at each tick; most of the time nothing has changed.
	}
	var list []store.Row
	for key, row := range r.raw {
		if row.Version > version && strings.HasPrefix(key, prefix) {
			list = append(list, row)
		}
	}
	return list
}

// isOlder reports whether a row changed by the table service is older than the
// copy's, which happens when the service has been restored from a backup.
func (r *rows) isOlder(changed []store.Row) bool {
	for _, row := range changed {
		if row.Version < r.raw[row.Key].Version {
			return true
		}
	}
	return false
}
